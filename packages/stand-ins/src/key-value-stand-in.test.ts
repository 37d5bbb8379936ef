import {expect} from 'chai';
import {HttpKeyValueService} from '@yuccawood/interfaces';
import {expectError, expectValue} from './outcomes.js';
import {KeyValueStandIn} from './index.js';

describe('KeyValueStandIn through HttpKeyValueService', () => {
	let standIn: KeyValueStandIn;
	let service: HttpKeyValueService;
	let address: string;

	beforeEach(async () => {
		standIn = new KeyValueStandIn({writesPerSecond: 50});
		address = await standIn.listen();
		service = new HttpKeyValueService({address, timeoutMs: 300});
	});

	afterEach(async () => {
		await service.close();
		await standIn.close();
	});

	it('accepts exactly one of two concurrent writes with the same expected version', async () => {
		const results = await Promise.all(['a', 'b'].map(async value => service.write('head/x y', value, {expectedVersion: 0})));
		const lost = results.find(({ok}) => !ok);
		const entry = await expectValue(service.read('head/x y'));
		expect(results.filter(({ok}) => ok)).to.have.length(1);
		expect(lost?.val).to.include({kind: 'conflict', currentVersion: entry?.version});
	});

	it('gives a key that is removed and created again a higher version', async () => {
		const first = await expectValue(service.write('k', 'old'));
		await service.remove('k');
		expect(await expectValue(service.read('k'))).to.equal(undefined);
		const waiting = service.watch('k', first, 2000);
		await service.write('k', 'new');
		expect(await expectValue(waiting)).to.include({value: 'new'});
	});

	it('answers a watch without an entry when its time is over', async () => {
		expect(await expectValue(service.watch('k', 0, 30))).to.equal(undefined);
	});

	it('removes the keys of an expired lease and grants increasing fencing numbers', async () => {
		const lease = await expectValue(service.grantLease(60_000));
		await service.write('held', 'me', {lease: lease.id});
		expect(await expectValue(service.renewLease(lease.id))).to.equal(60_000);
		standIn.setFaults({expireLeases: true});
		expect(await expectValue(service.read('held'))).to.equal(undefined);
		expect(await expectError(service.renewLease(lease.id))).to.include({kind: 'lease-expired'});
		expect(await expectError(service.write('held', 'me', {lease: lease.id}))).to.include({kind: 'lease-expired'});
		const next = await expectValue(service.grantLease(1000));
		expect(next.fencingNumber).to.be.above(lease.fencingNumber);
	});

	it('expires a lease that is not renewed', async () => {
		const lease = await expectValue(service.grantLease(1));
		await service.watch('other', 0, 20);
		expect(await expectError(service.renewLease(lease.id))).to.include({kind: 'lease-expired'});
	});

	it('refuses calls above the rate limit', async () => {
		// On a busy machine 120 calls at once take longer than the time limit of the other tests, and a write without an
		// answer is not a refused one.
		const slowTolerantService = new HttpKeyValueService({address, timeoutMs: 5000});
		const results = await Promise.all(Array.from({length: 120}, async (_, index) => slowTolerantService.write(`k${index}`, 'v')));
		await slowTolerantService.close();
		const refused = results.filter(({ok}) => !ok);
		expect(refused).to.not.have.length(0);
		expect(refused.every(({val}) => (val as {kind: string}).kind === 'rate-limited')).to.equal(true);
		expect(standIn.counters).to.include({write: 120, 'rate-limited': refused.length});
	});

	describe('with faults', () => {
		it('reports a write whose answer was lost as unknown-outcome although it took effect', async () => {
			standIn.setFaults({loseAnswers: 1});
			expect(await expectError(service.write('k', 'v'))).to.include({kind: 'unknown-outcome'});
			expect(await expectValue(service.read('k'))).to.include({value: 'v'});
		});

		it('reports a timeout of a write as unknown-outcome and of a read as unavailable', async () => {
			standIn.setFaults({outage: 'silent'});
			const [write, read] = await Promise.all([service.write('k', 'v'), service.read('k')]);
			expect(write.val).to.include({kind: 'unknown-outcome'});
			expect(read.val).to.include({kind: 'unavailable'});
		});

		it('reports a refused write and a refused connection as unavailable', async () => {
			standIn.setFaults({outage: 'refused'});
			expect(await expectError(service.write('k', 'v'))).to.include({kind: 'unavailable'});
			await standIn.close();
			expect(await expectError(service.write('k', 'v'))).to.include({kind: 'unavailable'});
		});

		it('reports a disconnected watch as an error, not as a watch whose time is over', async () => {
			const waiting = service.watch('k', 0, 5000);
			while (standIn.counters.watch === undefined) {
				await service.read('other');
			}

			standIn.setFaults({cutWatches: true});
			expect(await expectError(waiting)).to.include({kind: 'unavailable'});
		});
	});

	it('refuses a value above the limit', async () => {
		expect(await expectError(service.write('k', 'x'.repeat(1_000_001)))).to.include({kind: 'too-large'});
	});
});
