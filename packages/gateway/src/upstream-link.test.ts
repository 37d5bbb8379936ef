import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {delay} from '@yuccawood/common';
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

	/** Starts a server that calls the function on the first bytes of each connection. */
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
		const link = new UpstreamLink({address: `127.0.0.1:${(server.address() as AddressInfo).port}`});
		closers.push(() => {
			link.close();
			server.close();
		});
		return link;
	};

	describe('answers that end by closing the connection', () => {
		it('reports an answer without content-length as failed if its connection is reset', async () => {
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

		it('reports it as failed also if the bytes and the reset arrive together', async () => {
			const link = await serve(socket => {
				socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf of');
				setImmediate(() => {
					socket.resetAndDestroy();
				});
			});
			const seen = await sendOnce(link);
			expect(seen.kind).to.equal('error');
		});

		it('reports an answer without content-length as complete if its connection is closed normally', async () => {
			const link = await serve(socket => {
				socket.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall of it');
			});
			expect(await sendOnce(link)).to.deep.equal({kind: 'end', body: 'all of it'});
		});
	});

	describe('answers that end while another connection fails', () => {
		it('reports a complete answer as complete', async () => {
			const sockets: net.Socket[] = [];
			const link = await serve(socket => {
				sockets.push(socket);
			});
			const left = link.send({
				method: 'GET', path: '/', headers: [], body: undefined,
			}, {
				head: () => undefined, data: () => true, end: () => undefined, error: () => undefined,
			});
			const answered = sendOnce(link);
			while (sockets.length < 2) {
				await delay(5);
			}

			// The answer is read in the same turn of the event loop, before the aborted connection is closed.
			sockets[1].write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone');
			left.abort(new Error('the caller left'));
			expect(await answered).to.deep.equal({kind: 'end', body: 'done'});
		});
	});

	describe('failed sends', () => {
		it('reports that the request was not sent if the connection was refused', async () => {
			const server = http.createServer();
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const {port} = server.address() as AddressInfo;
			await new Promise(resolve => {
				server.close(resolve);
			});
			const link = new UpstreamLink({address: `127.0.0.1:${port}`});
			expect(await sendOnce(link)).to.deep.equal({kind: 'error', body: '', wasSent: false});
		});

		it('reports that the request was sent if the connection is reset before the answer', async () => {
			const link = await serve(socket => {
				socket.resetAndDestroy();
			});
			expect(await sendOnce(link)).to.deep.equal({kind: 'error', body: '', wasSent: true});
		});
	});
});
