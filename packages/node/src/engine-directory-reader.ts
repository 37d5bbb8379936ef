/**
Reads the directory of engines for an agent.

Agents do not follow the configuration. In a region without the store, a large configuration would saturate the shared
link to the store, and a new target version would be delayed behind it.
*/
import type {
	Clock, Log, Metrics, Random,
} from '@yuccawood/common';
import {
	engineDirectoryOf, type EngineDirectory, type FleetView, type StoreFollower,
} from '@yuccawood/fleet';
import {CONFIGURATION_KEY, ENGINES_KEY, type StoreClient} from '@yuccawood/platform';
import {
	MIN_WAIT_BEFORE_CONFIGURATION_MS, DIRECTORY_FIRST_READ_INTERVAL_MS, DIRECTORY_REFRESH_INTERVAL_MS, FRESH_READ_INTERVAL_MS, MAX_EMPTY_STALE_READS,
} from './constants.js';

export type EngineDirectoryReaderOptions = {
	readonly store: Pick<StoreClient, 'snapshot' | 'staleItems'>;
	readonly follower: Pick<StoreFollower, 'take'>;
	readonly view: FleetView;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** A stale read costs a tenth of a fresh one, but its result may be some seconds old. */
export type ReadKind = 'fresh' | 'stale';

export class EngineDirectoryReader {
	readonly #options: EngineDirectoryReaderOptions;
	readonly #log: Log;
	readonly #startedAt: number;
	#readsWithoutDirectory = 0;
	#isFailing = false;
	#lastFreshReadAt = Number.NEGATIVE_INFINITY;

	constructor(options: EngineDirectoryReaderOptions) {
		this.#options = options;
		this.#log = options.log.part('directory');
		this.#startedAt = options.clock.monotonic();
	}

	/** The last directory that was read; undefined before the first one. */
	get directory(): EngineDirectory | undefined {
		return this.#options.view.engines?.directory;
	}

	/**
	Reads the directory until it is known, and regularly while it is needed. Runs until the signal aborts.

	@param isNeeded whether changes of the directory matter now
	*/
	async run(isNeeded: () => boolean, signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#options;
		const patienceMs = MIN_WAIT_BEFORE_CONFIGURATION_MS * (1 + random.next());
		while (!signal.aborted) {
			if (!this.directory) {
				await this.#readUnknownDirectory(patienceMs);
			} else if (isNeeded()) {
				await this.read('stale');
			}

			const pauseMs = this.directory && isNeeded() ? DIRECTORY_REFRESH_INTERVAL_MS : DIRECTORY_FIRST_READ_INTERVAL_MS;
			await clock.sleep(pauseMs * (0.75 + (random.next() / 2)), signal);
		}
	}

	/** Reads the directory once. If the read fails, the last known directory remains in use. */
	async read(kind: ReadKind): Promise<void> {
		const {store, follower, metrics} = this.#options;
		const snapshot = kind === 'fresh' ? await store.snapshot(ENGINES_KEY) : undefined;
		const items = snapshot ? snapshot.map(({items}) => items) : await store.staleItems(ENGINES_KEY);
		metrics.count('directory.reads', {kind, outcome: items.ok ? 'answered' : 'failed'});
		if (items.err) {
			if (!this.#isFailing) {
				this.#log.warn('The directory of engines cannot be read; using the last known one.', {known: this.directory !== undefined, error: items.val.message});
			}

			this.#isFailing = true;
			return;
		}

		this.#isFailing = false;
		follower.take(items.val);
	}

	/** Reads the directory after a sign that it has changed, at most once per {@link FRESH_READ_INTERVAL_MS}. */
	readonly readAfterChangeHint = async (): Promise<void> => {
		const now = this.#options.clock.monotonic();
		if (now - this.#lastFreshReadAt >= FRESH_READ_INTERVAL_MS) {
			this.#lastFreshReadAt = now;
			await this.read('fresh');
		}
	};

	async #readUnknownDirectory(patienceMs: number): Promise<void> {
		const waitedMs = this.#options.clock.monotonic() - this.#startedAt;
		const isPatient = waitedMs < patienceMs;
		await (isPatient ? this.read(this.#readsWithoutDirectory++ < MAX_EMPTY_STALE_READS ? 'stale' : 'fresh') : this.#readConfiguration());

		if (this.directory) {
			this.#log.info('The directory of engines is known.', {milliseconds: Math.round(this.#options.clock.monotonic() - this.#startedAt), revision: this.directory.revision});
		}
	}

	/** Builds the directory from the configuration if no entry has written it. */
	async #readConfiguration(): Promise<void> {
		const {store, follower, view} = this.#options;
		this.#log.warn('No entry has written the directory of engines; reading the configuration instead.', {});
		const snapshot = await store.snapshot(CONFIGURATION_KEY);
		if (snapshot.err) {
			this.#log.warn('The configuration cannot be read; trying again.', {error: snapshot.val.message});
			return;
		}

		follower.take(snapshot.val.items);
		if (view.inForce && !view.engines) {
			view.apply({kind: 'engines', directory: engineDirectoryOf(view.inForce.configuration, view.inForce.revision)}, {revision: 0, mayBeLeaseExpiry: false});
		}
	}
}
