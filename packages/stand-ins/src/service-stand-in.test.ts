import {spawn} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';
import {sha256} from '@yuccawood/common';
import {ServiceStandIn, type ServiceAnswer} from './index.js';

const call = async (address: string, requestId: string): Promise<ServiceAnswer | undefined> => {
	try {
		const response = await fetch(`http://${address}/orders?x=1`, {method: 'POST', body: 'kit', headers: {'x-request-id': requestId, 'idempotency-key': 'k'}});
		return await response.json() as ServiceAnswer;
	} catch {
		return undefined;
	}
};

describe('ServiceStandIn', () => {
	let standIn: ServiceStandIn;
	let address: string;

	const runs = () => standIn.log.filter(({event}) => event === 'run').map(({requestId}) => requestId);

	beforeEach(async () => {
		standIn = new ServiceStandIn({name: 'orders'});
		address = await standIn.listen();
	});

	afterEach(async () => {
		await standIn.close();
	});

	it('describes the request in its answer', async () => {
		expect(await call(address, 'r1')).to.deep.equal({
			service: 'orders', method: 'POST', path: '/orders?x=1', requestId: 'r1', idempotencyKey: 'k', bodyHash: sha256('kit'), sequence: 0,
		});
	});

	it('records a call with a lost answer as run and a reset call as not run', async () => {
		standIn.setFaults({loseAnswers: 1});
		expect(await call(address, 'lost')).to.equal(undefined);
		standIn.setFaults({resetCalls: 1});
		expect(await call(address, 'reset')).to.equal(undefined);
		expect(runs()).to.deep.equal(['lost']);
	});

	it('accepts faults over HTTP and refuses unknown ones', async () => {
		const post = async (faults: unknown): Promise<number> => {
			const {status} = await fetch(`http://${address}/faults`, {method: 'POST', body: JSON.stringify(faults)});
			return status;
		};

		expect(await post({slowPartMs: 1})).to.equal(200);
		expect(await call(address, 'slow')).to.include({requestId: 'slow'});
		expect(await post({nonsense: 1})).to.equal(422);
		const response = await fetch(`http://${address}/log`);
		const log = await response.json() as ReadonlyArray<{readonly event: string}>;
		expect(log.map(({event}) => event)).to.deep.equal(['faults', 'run']);
	});
});

describe('main.js', () => {
	it('runs stand-ins in a process and prints their addresses', async () => {
		const child = spawn(process.execPath, [fileURLToPath(new URL('main.js', import.meta.url)), 'service', '--name', 'x', '--count', '2'], {stdio: ['ignore', 'pipe', 'inherit']});
		try {
			const line = await new Promise<string>(resolve => {
				child.stdout.once('data', data => {
					resolve(String(data));
				});
			});
			const {address, addresses} = JSON.parse(line) as {readonly address: string; readonly addresses: readonly string[]};
			expect(addresses[0]).to.equal(address);
			for (const one of addresses) {
				expect(await call(one, 'r')).to.include({service: 'x', sequence: 0});
			}
		} finally {
			child.kill();
		}
	});
});
