import {
	MemoryMetrics, seededRandom, sha256, SILENT_LOG, type Random,
} from '@yuccawood/common';
import type {AccountConfiguration, ConfigurationSource} from '@yuccawood/configuration';
import {GossipCluster, type ClusterNode} from '@yuccawood/membership/testing';
import {expect} from 'chai';
import {empty, type Stream} from 'most';
import {AccountAdmission} from './account-admission.js';
import type {AccountAdmissionOptions} from './admission-options.js';

type Entry = {
	readonly node: ClusterNode;
	readonly admission: AccountAdmission;
	readonly kill: () => void;
};

/** Requests of one account, sent at random times at a mean rate. */
type Load = {
	readonly account: string;
	readonly perSecond: number;
	readonly serviceMs: number;
	readonly deadlineMs?: number;
};

/** Entries in virtual time, with callers that send requests at random times. Counts requests by account. */
class Fleet {
	readonly cluster = new GossipCluster({seed: 'fleet'});
	readonly entries = new Map<string, Entry>();
	readonly running = new Map<string, number>();
	readonly done = new Map<string, number>();
	readonly refused = new Map<string, number>();
	maxRunning = 0;
	readonly #random: Random = seededRandom('callers');
	readonly #accounts: readonly AccountConfiguration[];
	readonly #options: Partial<AccountAdmissionOptions>;

	constructor(accounts: readonly AccountConfiguration[], options: Partial<AccountAdmissionOptions> = {}) {
		this.#accounts = accounts;
		this.#options = options;
	}

	async add(id: string): Promise<Entry> {
		const node = await this.cluster.start(id, {self: {role: 'entry'}, seeds: ['10.0.0.1:e0', '10.0.0.1:e1']});
		const ended = new AbortController();
		const configuration: ConfigurationSource = {
			current: {
				revision: 1, configuration: {
					models: [], routes: [], accounts: this.#accounts, vms: [], rollout: {balance: 0.5},
				},
			},
			changes: empty() as Stream<never>,
		};
		const admission = new AccountAdmission({
			configuration, members: node.gossip, ...node.host, peerServer: node.host.peerServer, peerClient: node.host.peerClient, clock: node.host.clock,
			random: seededRandom(id), log: SILENT_LOG, metrics: new MemoryMetrics(), selfId: id, fleetCapacity: () => 1000, capacityFactor: 1, ...this.#options,
		});
		admission.start(ended.signal);
		const entry: Entry = {
			node, admission, kill: () => {
				ended.abort();
				node.kill();
				this.entries.delete(id);
			},
		};
		this.entries.set(id, entry);
		await this.cluster.time.advance(5000);
		return entry;
	}

	/** Sends requests for some time, to random entries or to the given one. */
	async run(loads: readonly Load[], {seconds, entry}: {readonly seconds: number; readonly entry?: string}): Promise<void> {
		const {time} = this.cluster;
		for (const load of loads) {
			for (let at = this.#random.next() * 1000 / load.perSecond; at < seconds * 1000; at += this.#random.next() * 2000 / load.perSecond) {
				time.schedule(at, () => {
					const [target] = this.#random.sample([...this.entries.values()], 1);
					void this.#request((entry === undefined ? undefined : this.entries.get(entry)) ?? target, load);
				});
			}
		}

		await time.advance(seconds * 1000);
	}

	/** Clears the counts of ended requests; running ones stay counted. */
	reset(): void {
		this.done.clear();
		this.refused.clear();
		this.maxRunning = 0;
	}

	close(): void {
		for (const {kill} of this.entries.values()) {
			kill();
		}
	}

	async #request({admission, node}: Entry, {account, serviceMs, deadlineMs = 5000}: Load): Promise<void> {
		const answer = await admission.admit({bearer: `${account}-key`, deadlineMs});
		if (answer.err) {
			count(this.refused, account, 1);
			return;
		}

		this.maxRunning = Math.max(this.maxRunning, count(this.running, account, 1));
		await node.host.clock.sleep(serviceMs);
		count(this.running, account, -1);
		count(this.done, account, 1);
		answer.val.release();
	}
}

const count = (counts: Map<string, number>, key: string, amount: number): number => {
	const value = (counts.get(key) ?? 0) + amount;
	counts.set(key, value);
	return value;
};

const account = (name: string, limits: Partial<AccountConfiguration> = {}): AccountConfiguration => ({
	name, key: sha256(`${name}-key`), requestsPerSecond: 100_000, concurrent: 1000, priority: 5, ...limits,
});

describe('Admission at several entries', () => {
	let fleet: Fleet;

	const startFleet = async (size: number, accounts: readonly AccountConfiguration[], options: Partial<AccountAdmissionOptions> = {}): Promise<void> => {
		fleet = new Fleet(accounts, options);
		for (let i = 0; i < size; i++) {
			await fleet.add(`e${i}`);
		}
	};

	afterEach(() => {
		fleet.close();
	});

	describe('within the limits of one account', () => {
		// Throughput is checked only after the first seconds, because a new home entry limits its grants while unknown shares may be valid.
		it('keeps the concurrency of all entries together within the limit and uses at least 0.9 of it', async () => {
			await startFleet(3, [account('kit', {concurrent: 20})]);
			const load: Load = {account: 'kit', perSecond: 300, serviceMs: 200};
			await fleet.run([load], {seconds: 5});
			expect(fleet.maxRunning).to.be.at.most(20);
			fleet.reset();
			await fleet.run([load], {seconds: 10});
			expect(fleet.maxRunning).to.be.at.most(20);
			// 20 concurrent requests of 0.2 s each are 100 per second.
			expect(fleet.done.get('kit')).to.be.at.least(0.9 * 100 * 10);
		});

		it('keeps the rate of all entries together at the limit when one entry gets all requests', async () => {
			await startFleet(3, [account('kit', {requestsPerSecond: 50})]);
			await fleet.run([{account: 'kit', perSecond: 200, serviceMs: 5}], {seconds: 5, entry: 'e0'});
			fleet.reset();
			await fleet.run([{account: 'kit', perSecond: 200, serviceMs: 5}], {seconds: 20, entry: 'e0'});
			expect(fleet.done.get('kit')).to.be.within(0.95 * 50 * 20, 1.1 * 50 * 20);
		});

		it('stays within twice the limit when the home entry dies, and returns to the limit', async () => {
			await startFleet(3, [account('kit', {concurrent: 20})]);
			const load: Load = {account: 'kit', perSecond: 300, serviceMs: 200};
			await fleet.run([load], {seconds: 10});
			for (const id of ['e0', 'e1']) {
				fleet.reset();
				fleet.entries.get(id)?.kill();
				await fleet.run([load], {seconds: 15});
				expect(fleet.maxRunning).to.be.at.most(40);
				expect(fleet.done.get('kit')).to.be.at.least(0.6 * 100 * 15);
				fleet.reset();
				await fleet.run([load], {seconds: 10});
				expect(fleet.maxRunning).to.be.at.most(20);
				expect(fleet.done.get('kit')).to.be.at.least(0.9 * 100 * 10);
			}
		});

		it('stays within twice the limit while entries join, and returns to the limit and its full use', async () => {
			await startFleet(2, [account('kit', {concurrent: 20})]);
			const load: Load = {account: 'kit', perSecond: 300, serviceMs: 200};
			await fleet.run([load], {seconds: 5});
			for (let i = 2; i < 5; i++) {
				fleet.reset();
				const joined = fleet.add(`e${i}`);
				await fleet.run([load], {seconds: 10});
				await joined;
				expect(fleet.maxRunning).to.be.at.most(40);
			}

			fleet.reset();
			await fleet.run([load], {seconds: 10});
			expect(fleet.maxRunning).to.be.at.most(20);
			expect(fleet.done.get('kit')).to.be.at.least(0.9 * 100 * 10);
		});

		it('admits at least one concurrent request per entry while no home entry answers', async () => {
			await startFleet(3, [account('kit', {concurrent: 2})]);
			fleet.cluster.network.interruptLinks(() => true);
			await fleet.run([{account: 'kit', perSecond: 10, serviceMs: 50}], {seconds: 3, entry: 'e0'});
			expect(fleet.done.get('kit')).to.be.above(0);
			expect(fleet.maxRunning).to.be.at.most(2);
		});
	});

	describe('when the fleet is full', () => {
		// The small account is entitled to 24 × 60 / 360 = 4 concurrent requests of 0.2 s each: 20 per second.
		const expectFairShare = async (perSecond: number): Promise<void> => {
			const accounts = [account('large', {concurrent: 300}), account('small', {concurrent: 60})];
			await startFleet(3, accounts, {fleetCapacity: () => 24});
			const loads: readonly Load[] = [{account: 'large', perSecond: 360, serviceMs: 200}, {account: 'small', perSecond, serviceMs: 200}];
			await fleet.run(loads, {seconds: 5});
			fleet.reset();
			await fleet.run(loads, {seconds: 20});
			const sent = (fleet.done.get('small') ?? 0) + (fleet.refused.get('small') ?? 0);
			expect(fleet.done.get('small')).to.be.at.least(0.95 * Math.min(sent, 20 * 20));
		};

		for (const perSecond of [15, 60]) {
			it(`serves 0.95 of the entitlement of a small account that sends ${perSecond} requests per second while a large one floods the entries`, async () => expectFairShare(perSecond));
		}

		it('keeps its goodput at a load of three times its capacity', async () => {
			await startFleet(3, [account('kit')], {fleetCapacity: () => 24});
			// The capacity is 24 / 0.2 s = 120 requests per second.
			const load: Load = {
				account: 'kit', perSecond: 360, serviceMs: 200, deadlineMs: 1000,
			};
			await fleet.run([load], {seconds: 5});
			fleet.reset();
			await fleet.run([load], {seconds: 20});
			expect(fleet.maxRunning).to.be.at.most(24);
			expect(fleet.done.get('kit')).to.be.at.least(0.95 * 120 * 20);
			expect(fleet.refused.get('kit')).to.be.above(0);
		});

		it('sheds the less urgent account first', async () => {
			const accounts = [account('urgent', {priority: 9}), account('relaxed', {priority: 1})];
			await startFleet(1, accounts, {fleetCapacity: () => 10});
			const loads: readonly Load[] = ['urgent', 'relaxed'].map(name => ({account: name, perSecond: 60, serviceMs: 200}));
			await fleet.run(loads, {seconds: 20});
			expect(fleet.refused.get('relaxed')).to.be.above(fleet.refused.get('urgent') ?? 0);
		});
	});
});
