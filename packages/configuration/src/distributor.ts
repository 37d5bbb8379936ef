import {
	SILENT_LOG, SystemClock, describeError, repeatUntilAborted, systemRandom, type Clock, type Log, type Metrics, type PeerClient, type PeerServer, type Random,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import type {KeyValueService} from '@yuccawood/interfaces';
import type {Stream} from 'most';
import {
	CATCH_UP_PERIOD_MS, MAX_CONCURRENT_FETCHES, PEER_CALL_TIMEOUT_MS, WATCH_TIMEOUT_MS,
} from './constants.js';
import {announcementTargets} from './announcement-targets.js';
import {DocumentInForce} from './document-in-force.js';
import {HeadWatcher} from './head-watcher.js';
import {fetchDocument, serveDocuments} from './peer-documents.js';
import {StartFromPeers} from './start-from-peers.js';
import type {ConfigurationInForce, ConfigurationSource, Snapshot} from './types.js';

export type DistributorOptions = {
	readonly selfId: string;
	readonly members: MemberTable;
	readonly peerServer: PeerServer;
	readonly peerClient: PeerClient;
	readonly keyValue: KeyValueService;
	readonly metrics: Metrics;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log?: Log;

	/** Time that one watch of the head waits, in milliseconds. */
	readonly watchTimeoutMs?: number;

	/** Whether peers are told of a new revision at once. Without it they learn of it from their member tables. */
	readonly announces?: boolean;
};

type Announcement = {
	readonly revision: number;

	/** Peer address of the process that has the revision. */
	readonly address: string;
};

/** Gets each new revision from the key-value service or from peers, brings it into force and tells others. */
export class ConfigurationDistributor implements ConfigurationSource {
	/** Resolves when the process has a configuration in force by the rules for a start. */
	readonly ready: Promise<void>;
	readonly #options: Required<DistributorOptions>;
	readonly #document: DocumentInForce;
	readonly #watcher: HeadWatcher;
	readonly #start: StartFromPeers;
	readonly #fetching = new Set<string>();

	/** Highest revision that this process has heard of. It stays when the member that had it restarts or dies. */
	#known = 0;

	/** Registers `configuration.fetch` and `configuration.announce`, so it must precede the server's `listen`. */
	constructor({
		clock = new SystemClock(), random = systemRandom(), log = SILENT_LOG, watchTimeoutMs = WATCH_TIMEOUT_MS, announces = true, ...options
	}: DistributorOptions) {
		this.#options = {
			...options, clock, random, log, watchTimeoutMs, announces,
		};
		const {members, peerServer, metrics} = options;
		this.#document = new DocumentInForce({log, metrics});
		this.#watcher = new HeadWatcher({
			...this.#options,
			onSnapshot: snapshot => {
				this.#acceptHead(snapshot);
			},
		});
		let resolveReady: () => void = () => undefined;
		this.ready = new Promise(resolve => {
			resolveReady = resolve;
		});
		const known = (): number => Math.max(this.#known, members.highestRevision);
		this.#start = new StartFromPeers({
			...this.#options,
			known,
			onReady: snapshot => {
				const isApplied = this.#apply(snapshot);
				if (isApplied) {
					resolveReady();
				}

				return isApplied;
			},
		});
		serveDocuments(peerServer, {snapshot: () => this.#document.snapshot, known});
		peerServer.method('configuration.announce', (announcement: Announcement) => {
			this.#hear(announcement, MAX_CONCURRENT_FETCHES);
			return this.#document.revision;
		});
	}

	get current(): ConfigurationInForce | undefined {
		return this.#document.current;
	}

	get changes(): Stream<ConfigurationInForce> {
		return this.#document.changes;
	}

	/** Starts the background tasks, which end when the signal aborts. A configuration comes into force later; see `ready`. */
	async start(signal: AbortSignal): Promise<void> {
		const {log, members} = this.#options;
		const subscription = members.changes.subscribe({
			next: record => {
				this.#hear(record, 1);
			},
			error(error) {
				log.error('Member changes ended.', {error: describeError(error)});
			},
			complete: () => undefined,
		});
		signal.addEventListener('abort', () => {
			subscription.unsubscribe();
		}, {once: true});

		void this.#runStart(signal);
		void repeatUntilAborted(async () => this.#catchUp(), {
			signal,
			pauseMs: CATCH_UP_PERIOD_MS,
			onError(error) {
				log.error('Catching up failed.', {error: describeError(error)});
			},
		});
	}

	/** One read of the key-value service, then peers; watches begin only after the read, so that it stays one call. */
	async #runStart(signal: AbortSignal): Promise<void> {
		await this.#watcher.readOnce();
		await Promise.all([this.#watcher.run(signal), this.#start.run(signal)]);
	}

	#acceptHead(snapshot: Snapshot): void {
		if (this.#start.isDone) {
			this.#apply(snapshot);
			return;
		}

		this.#start.finish(snapshot);
	}

	#apply({revision, sections}: Snapshot): boolean {
		this.#known = Math.max(this.#known, revision);
		if (!this.#document.apply({revision, sections})) {
			return false;
		}

		this.#options.members.updateSelf({revision});
		if (this.#options.announces) {
			void this.#announce(revision);
		}

		return true;
	}

	/** Tells a few peers that are not known to have the revision; they fetch it and tell others. */
	async #announce(revision: number): Promise<void> {
		const {members, random, peerClient, selfId, metrics} = this.#options;
		const candidates = members.members.filter(member => member.id !== selfId && member.status !== 'dead' && member.revision < revision);
		const announcement: Announcement = {revision, address: members.self.address};
		await Promise.all(announcementTargets(selfId, candidates, random).map(async ({address}) => {
			try {
				await peerClient.call(address, 'configuration.announce', announcement, {timeoutMs: PEER_CALL_TIMEOUT_MS});
			} catch {
				// The comparison of revisions reaches the peer later.
				metrics.count('configuration.announcements_lost');
			}
		}));
	}

	/** Fetches the document from a process that has a higher revision, unless enough fetches are in progress. */
	#hear({revision, address}: Announcement, fetchLimit: number): void {
		this.#known = Math.max(this.#known, revision);
		const held = this.#document.revision || (this.#start.candidate?.revision ?? 0);
		const isOwn = address === this.#options.members.self.address;
		if (revision <= Math.max(held, this.#document.faultyRevision) || isOwn || this.#fetching.has(address) || this.#fetching.size >= fetchLimit) {
			return;
		}

		void this.#fetch(address);
	}

	async #fetch(address: string): Promise<void> {
		const {peerClient, metrics} = this.#options;
		this.#fetching.add(address);
		try {
			const held = this.#start.isDone ? this.#document.snapshot : this.#start.candidate;
			const {known, snapshot} = await fetchDocument({peerClient, address, held});
			this.#known = Math.max(this.#known, known);
			if (!this.#start.isDone) {
				this.#start.offer(known, snapshot);
			} else if (snapshot) {
				this.#apply(snapshot);
			}
		} catch {
			metrics.count('configuration.fetches_failed');
		} finally {
			this.#fetching.delete(address);
		}
	}

	/** Compares the own revision with those in the member table, which reaches what the announcements missed. */
	async #catchUp(): Promise<void> {
		const {members, random} = this.#options;
		const newer = members.members.filter(({revision, status, address}) => revision > this.#document.revision && status !== 'dead' && !this.#fetching.has(address));
		const [chosen] = random.sample(newer, 1);
		if (chosen) {
			this.#hear(chosen, MAX_CONCURRENT_FETCHES);
		}
	}
}
