import {Buffer} from 'node:buffer';
import net, {type AddressInfo, type Socket} from 'node:net';
import {Pool, request, type Dispatcher} from 'undici';
import {expect} from 'chai';
import {createGuardedClient} from './guarded-client.js';

const WRITE_BYTES = 64 * 1024;

/** Time within which a call fails, long before its time limit, and bytes that the server writes until then at most. */
const SOON_MS = 2500;
const LIMIT_MS = 8000;
const MAX_WRITTEN_BYTES = 16 * 1024 * 1024;

const CHUNKED = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';

/** The first bytes of an answer, and those that follow without end. */
const FORMS: Readonly<Record<string, readonly [string, string]>> = {
	'blank lines': ['', '\r\n'],
	'informational answers': ['', 'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'],
	'short header lines': ['HTTP/1.1 200 OK\r\n', 'a: b\r\n'],
	'a chunk extension': [`${CHUNKED}4;x=`, 'x'],
	trailers: [`${CHUNKED}4\r\ntext\r\n0\r\n`, 'a: b\r\n'],
};

describe('GuardedClient', () => {
	let server: net.Server;
	let pool: Pool;
	let sockets: Set<Socket>;
	let writtenBytes: number;

	const serve = async ([first, endless]: readonly [string, string]): Promise<void> => {
		const bytes = Buffer.from(endless.repeat(Math.ceil(WRITE_BYTES / Math.max(1, endless.length))));
		sockets = new Set();
		writtenBytes = 0;
		server = net.createServer(socket => {
			const write = (): void => {
				while (bytes.byteLength > 0 && socket.writable && socket.write(bytes)) {
					writtenBytes += bytes.byteLength;
				}
			};

			sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('drain', write);
			socket.once('data', () => {
				socket.write(first);
				write();
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, {factory: createGuardedClient});
	};

	afterEach(async () => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
		await pool.destroy();
	});

	const callWithRequest = async (): Promise<string> => {
		const {body} = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`, {dispatcher: pool, signal: AbortSignal.timeout(LIMIT_MS)});
		return body.text();
	};

	const callWithHandler = async (): Promise<string> => new Promise((resolve, reject) => {
		const timer = setTimeout(reject, LIMIT_MS, new Error('The time limit was reached.'));
		let text = '';
		const handler: Dispatcher.DispatchHandler = {
			onRequestStart: () => undefined,
			onResponseStart: () => undefined,
			onResponseData(_controller, chunk) {
				text += new TextDecoder().decode(chunk);
			},
			onResponseEnd() {
				clearTimeout(timer);
				resolve(text);
			},
			onResponseError(_controller, error) {
				clearTimeout(timer);
				reject(error);
			},
		};
		pool.dispatch({path: '/', method: 'GET'}, handler);
	});

	const expectFailsSoon = async (call: () => Promise<string>): Promise<void> => {
		const startedAt = performance.now();
		const [outcome] = await Promise.allSettled([call()]);
		expect(outcome.status).to.equal('rejected');
		expect(performance.now() - startedAt).to.be.below(SOON_MS);
		expect(writtenBytes).to.be.below(MAX_WRITTEN_BYTES);
	};

	for (const [interfaceName, call] of Object.entries({'the former interface of handlers': callWithRequest, 'the present interface of handlers': callWithHandler})) {
		describe(`with ${interfaceName}`, () => {
			for (const [name, form] of Object.entries(FORMS)) {
				it(`ends a call soon whose answer has ${name} without end`, async () => {
					await serve(form);
					await expectFailsSoon(call);
				});
			}

			it('passes a sound answer on', async () => {
				await serve([`${CHUNKED}4\r\ntext\r\n0\r\n\r\n`, '']);
				expect(await call()).to.equal('text');
			});
		});
	}
});
