import {once} from 'node:events';
import net, {type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {resetConnection} from './reset-connection.js';

describe('resetConnection', () => {
	let server: net.Server;
	let accepted: Promise<Socket>;
	let socket: Socket;

	beforeEach(async () => {
		server = net.createServer({pauseOnConnect: true});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		accepted = (async () => {
			const [peer] = await once(server, 'connection') as [Socket];
			return peer;
		})();
		socket = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		await once(socket, 'connect');
	});

	afterEach(() => {
		server.close();
	});

	it('resets at once although written bytes wait, so that they are not delivered later', async () => {
		const peer = await accepted;
		while (socket.writableLength < 1024 * 1024) {
			socket.write(new Uint8Array(256 * 1024));
		}

		resetConnection(socket);
		await once(socket, 'close');
		let received = 0;
		peer.on('data', (bytes: Uint8Array) => {
			received += bytes.byteLength;
		});
		peer.on('error', () => undefined);
		peer.resume();
		await once(peer, 'close');
		expect(received).to.be.lessThan(socket.bytesWritten);
	});

	it('fails the socket with the reason', async () => {
		const failed = once(socket, 'error');
		const reason = new Error('the caller left');
		resetConnection(socket, reason);
		const [error] = await failed as [Error];
		expect(error).to.equal(reason);
		const peer = await accepted;
		peer.on('error', () => undefined);
		peer.destroy();
	});

	it('does nothing to a connection that is closed', async () => {
		socket.destroy();
		resetConnection(socket, new Error('the caller left'));
		await once(socket, 'close');
		const peer = await accepted;
		peer.destroy();
	});
});
