import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {UpstreamLink, type AnswerSink} from './upstream-link.js';

type Seen = {readonly kind: 'end' | 'error'; readonly body: string; readonly wasSent?: boolean};

const sendOnce = async (link: UpstreamLink): Promise<Seen> => new Promise(resolve => {
	let body = '';
	const sink: AnswerSink = {
		head: () => undefined,
		data(chunk) {
			body += new TextDecoder().decode(chunk);
			return true;
		},
		end() {
			resolve({kind: 'end', body});
		},
		error(_error, wasSent) {
			resolve({kind: 'error', body, wasSent});
		},
	};
	link.send({
		method: 'GET', path: '/', headers: [], body: undefined,
	}, sink);
});

describe('UpstreamLink', () => {
	const closers: Array<() => void> = [];
	afterEach(() => {
		for (const close of closers.splice(0)) {
			close();
		}
	});

	/** A server that answers each connection's first bytes with the given function. */
	const serve = async (answer: (socket: net.Socket) => void): Promise<UpstreamLink> => {
		const server = net.createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				answer(socket);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const link = new UpstreamLink({address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connections: 2});
		closers.push(() => {
			link.close();
			server.close();
		});
		return link;
	};

	describe('answers that end with their connection', () => {
		it('reports an answer without a length that is reset as broken, not as complete', async () => {
			const link = await serve(socket => {
				socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of', () => {
					setTimeout(() => {
						socket.resetAndDestroy();
					}, 30);
				});
			});
			const seen = await sendOnce(link);
			expect(seen).to.deep.equal({kind: 'error', body: 'half of', wasSent: true});
		});

		it('reports it as broken, too, when the bytes and the reset arrive together', async () => {
			const link = await serve(socket => {
				socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of');
				setImmediate(() => {
					socket.resetAndDestroy();
				});
			});
			const seen = await sendOnce(link);
			expect(seen.kind).to.equal('error');
		});

		it('takes an answer without a length that is closed as complete', async () => {
			const link = await serve(socket => {
				socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it');
			});
			expect(await sendOnce(link)).to.deep.equal({kind: 'end', body: 'all of it'});
		});
	});

	describe('what is known of a failed send', () => {
		it('tells that a refused connection carried nothing, so that the request may go elsewhere', async () => {
			const server = http.createServer();
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const {port} = server.address() as AddressInfo;
			await new Promise(resolve => {
				server.close(resolve);
			});
			const link = new UpstreamLink({address: `127.0.0.1:${port}`, connections: 1});
			expect(await sendOnce(link)).to.deep.equal({kind: 'error', body: '', wasSent: false});
		});

		it('tells that a request may have run when the connection is reset before the answer', async () => {
			const link = await serve(socket => {
				socket.resetAndDestroy();
			});
			expect(await sendOnce(link)).to.deep.equal({kind: 'error', body: '', wasSent: true});
		});
	});
});
