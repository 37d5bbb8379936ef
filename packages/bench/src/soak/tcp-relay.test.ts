import net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {once} from 'node:events';
import {expect} from 'chai';
import {ServiceStandIn} from '@yuccawood/stand-ins';
import {Agent, request} from 'undici';
import {TcpRelay} from './tcp-relay.js';

describe('TcpRelay', () => {
	let service: ServiceStandIn;
	let relay: TcpRelay;
	let address: string;
	let dispatcher: Agent;

	const call = async (): Promise<number> => {
		const {statusCode, body} = await request(`http://${address}/x`, {dispatcher, signal: AbortSignal.timeout(300)});
		await body.dump();
		return statusCode;
	};

	beforeEach(async () => {
		service = new ServiceStandIn();
		relay = new TcpRelay({target: await service.listen()});
		address = await relay.listen();
		dispatcher = new Agent({connections: 1});
	});

	afterEach(async () => {
		await dispatcher.destroy();
		await relay.close();
		await service.close();
	});

	it('leaves silent connections open without data while new ones work', async () => {
		expect(await call()).to.equal(200);
		expect(relay.silence()).to.equal(1);
		let failure: unknown;
		try {
			await call();
		} catch (error) {
			failure = error;
		}

		expect(failure).to.include({name: 'TimeoutError'});
		expect(service.counters.run).to.equal(1);
		await dispatcher.destroy();
		dispatcher = new Agent({connections: 1});
		expect(await call()).to.equal(200);
	});

	it('drops what it holds of a connection that was reset, also if data and reset arrive together', async () => {
		relay.hold('toTarget');
		for (let count = 0; count < 20; count++) {
			const socket = net.connect(Number(address.split(':')[1]), '127.0.0.1');
			await once(socket, 'connect');
			socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
			socket.resetAndDestroy();
		}

		await sleep(100);
		relay.release();
		await sleep(100);
		expect(service.counters.run ?? 0).to.equal(0);
	});

	it('passes the end of a connection on', async () => {
		const socket = net.connect(Number(address.split(':')[1]), '127.0.0.1');
		socket.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
		await once(socket, 'data');
		service.setFaults({breakConnections: true});
		socket.resume();
		await once(socket, 'close');
		while (relay.connections > 0) {
			await sleep(1);
		}
	});
});
