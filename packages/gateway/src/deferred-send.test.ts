import http from 'node:http';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {OutdatedSendError} from './send-result.js';
import {UpstreamLink} from './upstream-link.js';

describe('a send that waits for a connection that was just freed', () => {
	it('does not begin if it is outdated by then', async () => {
		let requests = 0;
		const server = http.createServer((_request, response) => {
			requests++;
			response.end('x');
		}).listen(0, '127.0.0.1');
		await new Promise(resolve => {
			server.once('listening', resolve);
		});
		const link = new UpstreamLink({address: `127.0.0.1:${(server.address() as AddressInfo).port}`});
		try {
			const request = {
				method: 'GET', path: '/', headers: [], body: undefined,
			};
			const ignore = {head: () => undefined, data: () => true};
			const outcome = await new Promise<string>(resolve => {
				link.send(request, {
					...ignore,
					end() {
						setImmediate(() => {
							let isCurrent = true;
							link.send({...request, isCurrent: () => isCurrent}, {
								...ignore,
								end() {
									resolve('sent');
								},
								error(error, wasSent) {
									resolve(error instanceof OutdatedSendError && !wasSent ? 'outdated' : `failed: ${error.message}`);
								},
							});
							isCurrent = false;
						});
					},
					error(error) {
						resolve(error.message);
					},
				});
			});
			expect({outcome, requests}).to.deep.equal({outcome: 'outdated', requests: 1});
		} finally {
			link.close();
			server.close();
		}
	});
});
