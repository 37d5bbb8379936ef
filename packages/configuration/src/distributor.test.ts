import {expect} from 'chai';
import {
	MemoryMetrics, PeerClient, PeerServer, Publisher, seededRandom, SystemClock,
} from '@yuccawood/common';
import type {MemberPatch, MemberRecord, MemberTable} from '@yuccawood/membership';
import type {KeyValueService} from '@yuccawood/platform';
import {applyEdit} from './apply-edit.js';
import {HEAD_KEY} from './constants.js';
import {ConfigurationDistributor, type DistributorOptions} from './distributor.js';
import {initialiseDocument} from './initialise-document.js';
import {DOCUMENT, MemoryKeyValue, rolloutEdit} from './support.test.js';
import type {Head} from './types.js';

const clock = new SystemClock();
const random = seededRandom('distributor');

/** Member table that knows all processes of a test at once, as membership does after a few periods. */
class SharedTable implements MemberTable {
	readonly #shared: Map<string, MemberRecord>;
	readonly #publisher: Publisher<MemberRecord>;
	readonly #id: string;

	constructor(id: string, shared: Map<string, MemberRecord>, publisher = new Publisher<MemberRecord>()) {
		this.#id = id;
		this.#shared = shared;
		this.#publisher = publisher;
	}

	get self(): MemberRecord {
		return this.#shared.get(this.#id)!;
	}

	get members(): readonly MemberRecord[] {
		return [...this.#shared.values()];
	}

	get changes() {
		return this.#publisher.changes;
	}

	get highestRevision(): number {
		return Math.max(...this.members.map(({revision}) => revision));
	}

	readonly find = (id: string): MemberRecord | undefined => this.#shared.get(id);

	updateSelf(patch: MemberPatch): void {
		this.#shared.set(this.#id, {...this.self, ...patch});
	}
}

type Process = {
	readonly distributor: ConfigurationDistributor;
	readonly revisions: number[];
	readonly stop: () => Promise<void>;
};

type StartOptions = Partial<Pick<DistributorOptions, 'keyValue' | 'announces' | 'watchTimeoutMs'>> & {readonly records?: Map<string, MemberRecord>};

/** Processes on loopback ports with one key-value service. */
class Fleet {
	readonly keyValue = new MemoryKeyValue();
	readonly records = new Map<string, MemberRecord>();
	readonly processes = new Map<string, Process>();

	async start(id: string, {keyValue = this.keyValue, records = this.records, ...options}: StartOptions = {}): Promise<Process> {
		const peerServer = new PeerServer();
		const peerClient = new PeerClient();
		const members = new SharedTable(id, records);
		const distributor = new ConfigurationDistributor({
			selfId: id, members, peerServer, peerClient, keyValue, clock, random: seededRandom(id), metrics: new MemoryMetrics(), ...options,
		});
		const port = await peerServer.listen('127.0.0.1', 0);
		records.set(id, {
			id, role: 'agent', address: `127.0.0.1:${port}`, region: 'western', failureDomain: 'western-a', incarnation: 1, sequence: 1, status: 'alive', revision: 0,
		});
		const revisions: number[] = [];
		void distributor.changes.observe(({revision}) => {
			revisions.push(revision);
		});
		const controller = new AbortController();
		await distributor.start(controller.signal);
		const stop = async (): Promise<void> => {
			controller.abort();
			await peerServer.close();
			await peerClient.close();
		};

		const process = {distributor, revisions, stop};
		this.processes.set(id, process);
		return process;
	}

	async startAll(count: number, options: StartOptions = {}): Promise<readonly Process[]> {
		await initialiseDocument({
			keyValue: this.keyValue, text: DOCUMENT, author: 'ops', team: 'platform', editId: 'init', random,
		});
		const processes: Process[] = [];
		for (let i = 0; i < count; i++) {
			processes.push(await this.start(`agent-${i}`, options));
		}

		await Promise.all(processes.map(async ({distributor}) => distributor.ready));
		return processes;
	}

	async edit(count: number): Promise<number> {
		for (let i = 0; i < count; i++) {
			const {sections} = JSON.parse(this.keyValue.entries.get(HEAD_KEY)!.value) as Head;
			const edit = rolloutEdit({editId: `edit-${i}`, baseRevision: sections.rollout?.revision ?? 0, text: `balance = 0.${i + 1}`});
			const result = await applyEdit({keyValue: this.keyValue, edit, random});
			expect(result.ok).to.equal(true);
		}

		return count + 1;
	}

	async stop(): Promise<void> {
		await Promise.all([...this.processes.values()].map(async ({stop}) => stop()));
	}
}

const until = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await clock.sleep(10);
	}
};

const allHave = (processes: readonly Process[], revision: number) => (): boolean => processes.every(({distributor}) => distributor.current?.revision === revision);

describe('ConfigurationDistributor', () => {
	let fleet: Fleet;

	beforeEach(() => {
		fleet = new Fleet();
	});

	afterEach(async () => {
		await fleet.stop();
	});

	it('brings two edits in a row into force everywhere, in rising order, though only two processes watch', async () => {
		const processes = await fleet.startAll(10);
		const revision = await fleet.edit(2);
		await until(allHave(processes, revision));
		for (const {revisions} of processes) {
			expect(revisions).to.deep.equal([...revisions].sort((a, b) => a - b));
			expect(new Set(revisions).size).to.equal(revisions.length);
		}

		expect(processes[0].distributor.current?.configuration.rollout.balance).to.equal(0.2);
	});

	it('makes no more calls of the key-value service for more processes', async () => {
		const processes = await fleet.startAll(12);
		const callsBefore = fleet.keyValue.calls;
		await fleet.edit(1);
		await until(allHave(processes, 2));

		// The edit reads and writes once, and each of two watchers watches again.
		expect(fleet.keyValue.calls - callsBefore).to.be.at.most(6);
	});

	it('never brings an older revision or a document with faults into force', async () => {
		const [process] = await fleet.startAll(1);
		await fleet.edit(1);
		await until(allHave([process], 2));
		const entry = fleet.keyValue.entries.get(HEAD_KEY)!;
		const head = JSON.parse(entry.value) as Head;
		const faulty = {...head, revision: 3, sections: {...head.sections, rollout: {text: 'balance = 7', revision: 3}}};
		const values = [{...head, revision: 1}, faulty, {...head, revision: 4}];
		for (const value of values) {
			await fleet.keyValue.write(HEAD_KEY, JSON.stringify(value));
			await clock.sleep(50);
		}

		await until(allHave([process], 4));
		expect(process.revisions).to.deep.equal([1, 2, 4]);
	});

	describe('in a start without the key-value service', () => {
		it('gets the revision in force from peers', async () => {
			await fleet.startAll(3);
			await fleet.edit(1);
			await until(allHave([...fleet.processes.values()], 2));
			fleet.keyValue.isDown = true;
			fleet.keyValue.wake();
			const late = await fleet.start('late');
			await late.distributor.ready;
			expect(late.revisions).to.deep.equal([2]);
		});

		it('does not take the old revision of a stale peer when another one is known', async () => {
			const stale = new Fleet();
			await stale.startAll(1);
			try {
				const staleRecord = stale.records.get('agent-0')!;
				fleet.keyValue.isDown = true;

				// The only live peer has revision 1, and tells of a member that had revision 2.
				stale.records.set('gone', {
					...staleRecord, id: 'gone', address: '127.0.0.1:1', status: 'dead', revision: 2,
				});
				const records = new Map([['agent-0', staleRecord]]);
				const fresh = await fleet.start('fresh', {records});
				await clock.sleep(1000);
				expect(fresh.distributor.current).to.equal(undefined);

				await stale.edit(1);
				await fresh.distributor.ready;
				expect(fresh.revisions).to.deep.equal([2]);
			} finally {
				await stale.stop();
			}
		});
	});

	it('keeps the revision in force during an outage and catches up after it', async () => {
		const processes = await fleet.startAll(4);
		fleet.keyValue.isDown = true;
		fleet.keyValue.wake();
		await clock.sleep(300);
		expect(allHave(processes, 1)()).to.equal(true);
		fleet.keyValue.isDown = false;
		await fleet.edit(1);
		await until(allHave(processes, 2));
	});

	it('reaches a process whose announcements are lost and whose watches are cut, by comparing revisions', async () => {
		const processes = await fleet.startAll(3);
		const cut = new MemoryKeyValue();
		cut.isDown = true;
		const lonely = await fleet.start('lonely', {keyValue: cut});
		await lonely.distributor.ready;

		// Announcements go to an address where nobody listens.
		fleet.records.set('lonely', {...fleet.records.get('lonely')!, address: '127.0.0.1:1'});
		await fleet.edit(1);
		await until(allHave([...processes, lonely], 2));
	});

	it('reaches everyone by comparing revisions when no process announces', async () => {
		const processes = await fleet.startAll(8, {announces: false});
		await fleet.edit(1);
		await until(allHave(processes, 2));
	});

	it('replaces a watch whose connection has gone silent', async () => {
		let watches = 0;
		let release: (() => void) | undefined;
		const silent: KeyValueService = {
			...fleet.keyValue,
			async watch(...parameters) {
				watches++;
				if (watches === 2) {
					await new Promise<void>(resolve => {
						release = resolve;
					});
				}

				return fleet.keyValue.watch(...parameters);
			},
		};

		const processes = await fleet.startAll(1, {keyValue: silent, watchTimeoutMs: 100});
		await until(() => watches === 2);
		await fleet.edit(1);
		await until(allHave(processes, 2));
		expect(watches).to.be.above(2);
		release?.();
	});

	it('removes a section on processes that fetch only what changed', async () => {
		const processes = await fleet.startAll(6);
		const {text: _text, ...removal} = rolloutEdit({section: 'account.matara', team: 'accounts', baseRevision: 1});
		const result = await applyEdit({keyValue: fleet.keyValue, edit: removal, random});
		expect(result.ok).to.equal(true);
		await until(allHave(processes, 2));
		for (const {distributor} of processes) {
			expect(distributor.current?.configuration.accounts).to.deep.equal([]);
		}
	});
});
