import {
	SILENT_LOG, SystemClock, describeError, runPeriodically, systemRandom, type Clock, type Log, type Metrics, type PeerClient, type PeerServer, type Random,
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
import {PeerBootstrap} from './peer-bootstrap.js';
import type {ConfigurationInForce, ConfigurationSource, Snapshot} from './types.js';

export type ConfigurationDistributorOptions = {
	readonly selfId: string;
	readonly members: MemberTable;
	readonly peerServer: PeerServer;
	readonly peerClient: PeerClient;
	readonly keyValue: KeyValueService;
	readonly metrics: Metrics;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log?: Log;

	/** Time that one watch of the head waits for a change, in milliseconds. */
	readonly watchTimeoutMs?: number;

	/** Whether peers are notified of a new revision at once. Otherwise they learn of it from their member tables. */
	readonly announces?: boolean;
};

type Announcement = {
	readonly revision: number;

	/** Peer address of the process that has the revision. */
	readonly address: string;
};

/** Gets each new revision from the key-value service or from peers, brings it into force and notifies other peers. */
export class ConfigurationDistributor implements ConfigurationSource {
	/** Resolves when the first configuration is in force. */
	readonly ready: Promise<void>;
	readonly #options: Required<ConfigurationDistributorOptions>;
	readonly #documentInForce: DocumentInForce;
	readonly #watcher: HeadWatcher;
	readonly #bootstrap: PeerBootstrap;
	readonly #fetchingAddresses = new Set<string>();

	/** Highest revision that this process has heard of. It is kept when the member that had it restarts or dies. */
	#highestKnownRevision = 0;

	/** Registers the methods `configuration.fetch` and `configuration.announce`, so call it before the server's `listen`. */
	constructor({
		clock = new SystemClock(), random = systemRandom(), log = SILENT_LOG, watchTimeoutMs = WATCH_TIMEOUT_MS, announces = true, ...options
	}: ConfigurationDistributorOptions) {
		this.#options = {
			...options, clock, random, log, watchTimeoutMs, announces,
		};
		const {members, peerServer, metrics} = options;
		this.#documentInForce = new DocumentInForce({log, metrics});
		this.#watcher = new HeadWatcher({
			...this.#options,
			onSnapshot: snapshot => {
				this.#applyHead(snapshot);
			},
		});
		let resolveReady: () => void = () => undefined;
		this.ready = new Promise(resolve => {
			resolveReady = resolve;
		});
		const known = (): number => Math.max(this.#highestKnownRevision, members.highestRevision);
		this.#bootstrap = new PeerBootstrap({
			...this.#options,
			highestKnownRevision: known,
			tryApply: snapshot => {
				const isApplied = this.#apply(snapshot);
				if (isApplied) {
					resolveReady();
				}

				return isApplied;
			},
		});
		serveDocuments(peerServer, {snapshot: () => this.#documentInForce.snapshot, known});
		peerServer.method('configuration.announce', (announcement: Announcement) => {
			this.#fetchIfNewer(announcement, MAX_CONCURRENT_FETCHES);
			return this.#documentInForce.revision;
		});
	}

	get current(): ConfigurationInForce | undefined {
		return this.#documentInForce.current;
	}

	get changes(): Stream<ConfigurationInForce> {
		return this.#documentInForce.changes;
	}

	/** Starts the background tasks, which end when the signal aborts. Await `ready` for the first configuration. */
	async start(signal: AbortSignal): Promise<void> {
		const {log, members} = this.#options;
		const subscription = members.changes.subscribe({
			next: record => {
				this.#fetchIfNewer(record, 1);
			},
			error(error) {
				log.error('The stream of member changes ended; new revisions are still found in the member table.', {error: describeError(error)});
			},
			complete: () => undefined,
		});
		signal.addEventListener('abort', () => {
			subscription.unsubscribe();
		}, {once: true});

		void this.#bootstrapAndWatch(signal);
		void runPeriodically(async () => this.#catchUp(), {
			signal,
			pauseMs: CATCH_UP_PERIOD_MS,
			onError(error) {
				log.error('Comparing the configuration revision with the member table failed; it is tried again.', {error: describeError(error)});
			},
		});
	}

	/** Reads the head once, then asks peers and watches. The watches begin after the read, so that a start makes a single call of the key-value service. */
	async #bootstrapAndWatch(signal: AbortSignal): Promise<void> {
		await this.#watcher.readOnce();
		await Promise.all([this.#watcher.run(signal), this.#bootstrap.run(signal)]);
	}

	#applyHead(snapshot: Snapshot): void {
		if (this.#bootstrap.isDone) {
			this.#apply(snapshot);
			return;
		}

		this.#bootstrap.completeWith(snapshot);
	}

	#apply({revision, sections}: Snapshot): boolean {
		this.#highestKnownRevision = Math.max(this.#highestKnownRevision, revision);
		if (!this.#documentInForce.apply({revision, sections})) {
			return false;
		}

		this.#options.members.updateSelf({revision});
		if (this.#options.announces) {
			void this.#announce(revision);
		}

		return true;
	}

	/** Notifies a few peers that are not known to have the revision; they fetch it and notify others. */
	async #announce(revision: number): Promise<void> {
		const {members, random, peerClient, selfId, metrics} = this.#options;
		const candidates = members.members.filter(member => member.id !== selfId && member.status !== 'dead' && member.revision < revision);
		const announcement: Announcement = {revision, address: members.self.address};
		await Promise.all(announcementTargets(selfId, candidates, random).map(async ({address}) => {
			try {
				await peerClient.call(address, 'configuration.announce', announcement, {timeoutMs: PEER_CALL_TIMEOUT_MS});
			} catch {
				// The peer catches up later, when it compares its revision with its member table.
				metrics.count('configuration.announcements_lost');
			}
		}));
	}

	/** Fetches the document from a process that has a higher revision, unless `fetchLimit` fetches are in progress. */
	#fetchIfNewer({revision, address}: Announcement, fetchLimit: number): void {
		this.#highestKnownRevision = Math.max(this.#highestKnownRevision, revision);
		const heldRevision = this.#documentInForce.revision || (this.#bootstrap.candidate?.revision ?? 0);
		const isOwn = address === this.#options.members.self.address;
		if (revision <= Math.max(heldRevision, this.#documentInForce.faultyRevision) || isOwn || this.#fetchingAddresses.has(address) || this.#fetchingAddresses.size >= fetchLimit) {
			return;
		}

		void this.#fetch(address);
	}

	async #fetch(address: string): Promise<void> {
		const {peerClient, metrics} = this.#options;
		this.#fetchingAddresses.add(address);
		try {
			const held = this.#bootstrap.isDone ? this.#documentInForce.snapshot : this.#bootstrap.candidate;
			const {known, snapshot} = await fetchDocument({peerClient, address, held});
			this.#highestKnownRevision = Math.max(this.#highestKnownRevision, known);
			if (!this.#bootstrap.isDone) {
				this.#bootstrap.addPeerAnswer(known, snapshot);
			} else if (snapshot) {
				this.#apply(snapshot);
			}
		} catch {
			metrics.count('configuration.fetches_failed');
		} finally {
			this.#fetchingAddresses.delete(address);
		}
	}

	/** Fetches a newer revision that the member table shows, for processes that no announcement reached. */
	async #catchUp(): Promise<void> {
		const {members, random} = this.#options;
		const newer = members.members.filter(({revision, status, address}) => revision > this.#documentInForce.revision && status !== 'dead' && !this.#fetchingAddresses.has(address));
		const [chosen] = random.sample(newer, 1);
		if (chosen) {
			this.#fetchIfNewer(chosen, MAX_CONCURRENT_FETCHES);
		}
	}
}
