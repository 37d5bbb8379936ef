import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {CallerResponse} from './caller-response.js';

describe('CallerResponse', () => {
	let server: http.Server;
	let response: CallerResponse;

	beforeEach(async () => {
		server = http.createServer().listen(0, '127.0.0.1');
		await new Promise(resolve => {
			server.once('listening', resolve);
		});
		const caller = net.connect((server.address() as AddressInfo).port, '127.0.0.1');
		caller.on('error', () => undefined);
		caller.write('GET / HTTP/1.1\r\nhost: h\r\n\r\n');
		await new Promise<void>(resolve => {
			server.once('request', (_request, serverResponse) => {
				response = new CallerResponse({response: serverResponse, requestId: 'r1'});
				serverResponse.once('close', resolve);
				caller.destroy();
			});
		});
	});

	afterEach(() => {
		server.close();
	});

	describe('after the caller has closed its connection', () => {
		it('tells so', () => {
			expect(response.isDisconnected).to.equal(true);
		});

		it('calls a listener that is set only then', () => {
			let calls = 0;
			response.onDisconnected = () => {
				calls++;
			};

			expect(calls).to.equal(1);
		});
	});
});
