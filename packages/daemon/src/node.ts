/** Parts that entry and agent processes have in common. */
import {setMaxListeners} from 'node:events';
import process from 'node:process';
import {
	PEER_CLOSE_GRACE_MS, createLog, InvariantChecker, PeerClient, PeerServer, SystemClock, systemRandom, type Clock, type Log, type Random,
} from '@yuccawood/common';
import {ConfigurationDistributor} from '@yuccawood/configuration';
import {ProcessLifecycle, type LeaveReason} from '@yuccawood/lifecycle';
import {Gossip, type Role, type UpstreamSummary} from '@yuccawood/membership';
import {HttpKeyValueService, HttpVmList, type KeyValueService} from '@yuccawood/interfaces';
import {splitAddress} from './split-address.js';
import {ProcessMetrics} from './process-metrics.js';
import type {ProcessSettings, StatusReport} from './types.js';

/** Logging, time, randomness and network clients, which tests replace by deterministic or recording ones. */
export type ProcessEnvironment = {
	readonly log: Log;
	readonly clock: Clock;
	readonly random: Random;
	readonly keyValue: KeyValueService;
	readonly peerClient: PeerClient;
};

/** Options of `Node`. */
export type NodeOptions = {
	readonly settings: ProcessSettings;
	readonly role: Role;

	/** Upstream that an agent announces to the other members; absent for an entry. */
	readonly upstream?: UpstreamSummary;
	readonly environment?: Partial<ProcessEnvironment>;
};

/** Common part of an entry or agent process: peer server, membership, configuration, metrics and lifecycle. */
export class Node {
	readonly settings: ProcessSettings;
	readonly log: Log;
	readonly metrics: ProcessMetrics;
	readonly clock: Clock;
	readonly random: Random;
	readonly peerServer = new PeerServer();
	readonly peerClient: PeerClient;
	readonly keyValue: KeyValueService;
	readonly gossip: Gossip;
	readonly configuration: ConfigurationDistributor;
	readonly lifecycle: ProcessLifecycle;
	readonly invariants: InvariantChecker;
	readonly #role: Role;
	readonly #ended = new AbortController();
	#clientBytes = 0;

	constructor({settings, role, upstream, environment = {}}: NodeOptions) {
		// All tasks of the process listen to this signal, which exceeds the default listener limit.
		setMaxListeners(0, this.#ended.signal);
		this.settings = settings;
		this.#role = role;
		this.log = environment.log ?? createLog({...settings.log, fields: {vm: settings.id}});
		this.clock = environment.clock ?? new SystemClock();
		this.random = environment.random ?? systemRandom();
		this.metrics = new ProcessMetrics(settings);
		this.peerClient = environment.peerClient ?? new PeerClient({
			onControlBytes: bytes => {
				this.#clientBytes += bytes;
			},
		});
		this.keyValue = environment.keyValue ?? new HttpKeyValueService({address: settings.platform.keyValue});
		this.invariants = new InvariantChecker({log: this.log.part('invariants'), metrics: this.metrics});
		this.lifecycle = new ProcessLifecycle({log: this.log.part('lifecycle')});
		this.gossip = this.#createGossip(upstream);
		this.configuration = new ConfigurationDistributor({
			...this.#sharedOptions('configuration'), selfId: settings.id, members: this.gossip, keyValue: this.keyValue,
		});
		this.peerServer.method('status.report', () => this.report());
	}

	/** Aborts when the background tasks of the process have to stop. */
	get signal(): AbortSignal {
		return this.#ended.signal;
	}

	/** Listens for peers, joins the fleet and starts to follow the configuration. */
	async start(): Promise<void> {
		const {host, port} = splitAddress(this.settings.peer.listen);
		await this.peerServer.listen(host, port);
		await this.gossip.start(this.signal);
		await this.configuration.start(this.signal);
		this.#followConfiguredRole();
		this.#checkRevisions();
	}

	/** Starts a drain that cannot be withdrawn, also while the process is still starting. */
	readonly leave = (reason: LeaveReason): void => {
		this.lifecycle.drain(reason);
		this.lifecycle.markServing();
	};

	/** Stops the background tasks. */
	endTasks(): void {
		this.#ended.abort();
	}

	/** Closes the peer connections and the metrics. Call it after `endTasks`. */
	async close(): Promise<void> {
		await this.peerServer.close({graceMs: PEER_CLOSE_GRACE_MS});
		await this.peerClient.close();
		this.metrics.close();
	}

	/** @returns the answer of `status.report`. */
	report(): StatusReport {
		const {memory} = this.metrics;
		const {user, system} = process.cpuUsage();
		return {
			id: this.settings.id,
			role: this.#role,
			phase: this.lifecycle.phase,
			revision: this.configuration.current?.revision ?? 0,
			members: this.gossip.members,
			counters: Object.fromEntries(memory.counters),
			residentBytes: process.memoryUsage.rss(),
			cpuSeconds: (user + system) / 1_000_000,
			controlBytes: this.#clientBytes + this.peerServer.controlBytes,
		};
	}

	/** Options common to most parts, with a log that is prefixed with the name of the part. */
	#sharedOptions(prefix: string) {
		const {
			peerServer, peerClient, clock, random, metrics,
		} = this;
		return {
			peerServer, peerClient, clock, random, metrics, log: this.log.part(prefix),
		};
	}

	#createGossip(upstream: UpstreamSummary | undefined): Gossip {
		const {
			id, region, failureDomain, peer, platform,
		} = this.settings;
		const vmList = platform.vmList === undefined ? undefined : new HttpVmList({address: platform.vmList});
		return new Gossip({
			...this.#sharedOptions('membership'),
			self: {
				id, role: this.#role, address: peer.listen, region, failureDomain, upstream,
			},
			seeds: peer.seeds,
			vmList,
			onLeaveHint: () => {
				this.leave('vm-list');
			},
			onSuperseded: () => {
				this.log.warn('Another process with this id started later; this process stops. Give each VM an id of its own.');
				this.leave('signal');
			},
		});
	}

	/** Checks the invariant that each new revision of the configuration is higher than all before. */
	#checkRevisions(): void {
		let highest = this.configuration.current?.revision ?? 0;
		void this.configuration.changes.observe(({revision}) => {
			this.invariants.check('revision-rises', revision > highest, {revision, highest});
			highest = Math.max(highest, revision);
		});
	}

	/** Drains while the section of this VM in the configuration has the role `drain`, and resumes otherwise. */
	#followConfiguredRole(): void {
		const applyRole = (): void => {
			const ownSection = this.configuration.current?.configuration.vms.find(({id}) => id === this.settings.id);
			if (ownSection?.role === 'drain') {
				this.lifecycle.drain('configuration');
				return;
			}

			this.lifecycle.resume();
		};

		void this.configuration.changes.observe(applyRole);
	}
}
