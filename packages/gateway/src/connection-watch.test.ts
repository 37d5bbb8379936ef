import net, {type AddressInfo} from 'node:net';
import {delay, MAX_HEAD_MS} from '@yuccawood/common';
import {expect} from 'chai';
import {UpstreamLink} from './upstream-link.js';

/** Blocks the event loop, as if the process had been paused. */
const block = (milliseconds: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
};

describe('ConnectionWatch', () => {
	const closers: Array<() => void> = [];
	let connections = 0;
	afterEach(() => {
		for (const close of closers.splice(0)) {
			close();
		}
	});

	const serve = async (answer: (socket: net.Socket) => void): Promise<UpstreamLink> => {
		connections = 0;
		const server = net.createServer(socket => {
			connections++;
			socket.on('error', () => undefined);
			socket.on('data', () => {
				answer(socket);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const link = new UpstreamLink({address: `127.0.0.1:${(server.address() as AddressInfo).port}`});
		closers.push(() => {
			link.close();
			server.close();
		});
		return link;
	};

	/** @returns the body, or the message of the error */
	const send = async (link: UpstreamLink, abortAfterMs?: number): Promise<string> => new Promise(resolve => {
		let body = '';
		const sent = link.send({
			method: 'GET', path: '/', headers: [], body: undefined,
		}, {
			head: () => undefined,
			data(chunk) {
				body += new TextDecoder().decode(chunk);
				return true;
			},
			end() {
				resolve(body);
			},
			error(error) {
				resolve(error.message);
			},
		});
		if (abortAfterMs !== undefined) {
			setTimeout(() => {
				sent.abort(new Error('aborted'));
			}, abortAfterMs);
		}
	});

	/** Writes the end of the head and blocks the event loop, so that due timers run before the bytes are read. */
	const pauseAfterWrite = (socket: net.Socket): void => {
		setImmediate(() => {
			socket.write('length: 4\r\n\r\ndone');
			block(MAX_HEAD_MS + 200);
		});
	};

	it('accepts a head whose end arrived while the process was paused', async () => {
		const link = await serve(socket => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-');
			setTimeout(pauseAfterWrite, 50, socket);
		});
		expect(await send(link)).to.equal('done');
	});

	it('does not limit the time before an answer begins or between parts of its body', async () => {
		const link = await serve(socket => {
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n');
			}, MAX_HEAD_MS + 200);
			setTimeout(() => {
				socket.write('4\r\ndone\r\n0\r\n\r\n');
			}, (MAX_HEAD_MS + 200) * 2);
		});
		expect(await send(link)).to.equal('halfdone');
	});

	it('reuses a connection after complete answers', async () => {
		const link = await serve(socket => {
			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone');
		});
		for (let i = 0; i < 5; i++) {
			expect(await send(link)).to.equal('done');
		}

		expect(connections).to.equal(1);
	});

	it('opens no new connection for an aborted request', async () => {
		const link = await serve(() => undefined);
		expect(await send(link, 50)).to.equal('aborted');
		await delay(200);
		expect(connections).to.equal(1);
	});
});
