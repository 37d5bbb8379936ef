/** Fixture for tests of the distributor: processes that exchange a configuration on loopback ports. */
import {expect} from 'chai';
import {
	MemoryMetrics, PeerClient, PeerServer, Publisher, seededRandom, SystemClock,
} from '@yuccawood/common';
import type {MemberPatch, MemberRecord, MemberTable} from '@yuccawood/membership';
import {applyEdit} from './apply-edit.js';
import {HEAD_KEY} from './constants.js';
import {ConfigurationDistributor, type ConfigurationDistributorOptions} from './distributor.js';
import {initialiseDocument} from './initialise-document.js';
import {DOCUMENT, MemoryKeyValue, rolloutEdit} from './support.test.js';
import type {Head} from './types.js';

export const clock = new SystemClock();
export const random = seededRandom('distributor');

/** Member table that all processes of a test share, so that changes are visible at once. Membership needs a few periods for that. */
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

export type Process = {
	readonly distributor: ConfigurationDistributor;
	readonly revisions: number[];
	readonly stop: () => Promise<void>;
};

type StartOptions = Partial<Pick<ConfigurationDistributorOptions, 'keyValue' | 'announces' | 'watchTimeoutMs'>> & {readonly records?: Map<string, MemberRecord>};

/** Several distributors on loopback ports with one key-value service. */
export class Fleet {
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

	async initialise(): Promise<void> {
		await initialiseDocument({
			keyValue: this.keyValue, text: DOCUMENT, author: 'ops', team: 'platform', editId: 'init', random,
		});
	}

	async startAll(count: number, options: StartOptions = {}): Promise<readonly Process[]> {
		await this.initialise();
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

export const until = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await clock.sleep(10);
	}
};

export const allHave = (processes: readonly Process[], revision: number) => (): boolean => processes.every(({distributor}) => distributor.current?.revision === revision);
