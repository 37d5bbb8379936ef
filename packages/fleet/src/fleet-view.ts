/** Observed state of this process: configuration, upstreams, target versions, other entries. */
import {
	MemoryMetrics, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import type {ConfigurationInForce, StoredDirectory} from './documents-in-force.js';
import {applyCrashCount} from './crash-counts.js';
import {Evacuations} from './evacuations.js';
import {UpstreamList} from './upstream-list.js';
import {targetAges} from './target-ages.js';
import {FleetChanges, type FleetChange} from './fleet-changes.js';
import {
	AGE_TOLERANCE_MS, MAX_TARGETS_PER_MODEL, MAX_WITNESS_DELAY_MS,
} from './constants.js';
import type {
	Announcement, AnnouncementContext, ModelTarget, TargetAge, TrafficConfiguration, Upstream,
} from './types.js';

const roundMs = (milliseconds: number | undefined): number | undefined => milliseconds === undefined ? undefined : Math.round(milliseconds);

export class FleetView {
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #initialTargetAgeMs: () => number;
	readonly #changes: FleetChanges;
	readonly #upstreams: UpstreamList;
	readonly #targets = new Map<string, readonly ModelTarget[]>();
	readonly #entries = new Map<string, string>();
	readonly #crashCounts = new Map<string, number>();
	readonly #evacuations: Evacuations;
	#inForce: ConfigurationInForce | undefined;
	#engines: StoredDirectory | undefined;
	#isInitialized = false;

	constructor({clock, log, metrics = new MemoryMetrics(), initialTargetAgeMs = () => 0, heartbeatMs}: {
		readonly clock: Clock;
		readonly log: Log;
		readonly metrics?: Metrics;

		/**
		Assumed age, in milliseconds, of target versions that this process finds in its first read of the store. It can't know
		when they were set.
		*/
		readonly initialTargetAgeMs?: () => number;

		/** Interval at which upstreams report, in milliseconds; undefined if unknown. */
		readonly heartbeatMs?: number;
	}) {
		this.#initialTargetAgeMs = initialTargetAgeMs;
		this.#clock = clock;
		this.#log = log.part('fleet');
		this.#evacuations = new Evacuations(this.#log);
		this.#upstreams = new UpstreamList({
			clock, log: this.#log, heartbeatMs,
			onChange: () => {
				this.#changes.publish('upstreams');
			},
		});
		this.#changes = new FleetChanges({log: this.#log, metrics});
	}

	get inForce(): ConfigurationInForce | undefined {
		return this.#inForce;
	}

	/** Whether all parts of the store that are not bulky have been read at least once. */
	get isInitialized(): boolean {
		return this.#isInitialized;
	}

	/** Engine directory from the store, for processes that do not follow the configuration. */
	get engines(): StoredDirectory | undefined {
		return this.#engines;
	}

	/** Listed upstreams. Returns the same array until the list changes. */
	get upstreams(): readonly Upstream[] {
		return this.#upstreams.list;
	}

	/** Peer addresses of the other entries by id. */
	get entries(): ReadonlyMap<string, string> {
		return this.#entries;
	}

	/** Number of upstream crashes under requests, and parts of prompts, that entries have blocked. */
	get crashCounts(): ReadonlyMap<string, number> {
		return this.#crashCounts;
	}

	/** Failure domains whose upstreams may get no requests until their evacuation is taken back. */
	get evacuatedDomains(): ReadonlySet<string> {
		return this.#evacuations.domains;
	}

	/** Target versions of all models that this process has learned of. */
	get targets(): readonly ModelTarget[] {
		return [...this.#targets.values()].flat();
	}

	/** Current target version of the model. */
	targetOf(model: string): ModelTarget | undefined {
		return this.targetsOf(model).at(-1);
	}

	/** Time for which the target versions have been known, for peers that learned of them later. */
	get targetAges(): readonly TargetAge[] {
		return targetAges(this.targets, this.#clock.monotonic());
	}

	/** Applies the age of a target version at a peer, if the version is known here. */
	applyPeerTargetAge({model, version, ageMs}: Pick<TargetAge, 'model' | 'version' | 'ageMs'>): void {
		const known = this.targetsOf(model).find(target => target.version === version);
		const knownAt = this.#clock.monotonic() - ageMs;
		if (!known || knownAt > known.knownAt - AGE_TOLERANCE_MS) {
			return;
		}

		const learnedAt = Math.min(known.learnedAt, knownAt);
		this.#targets.set(model, this.targetsOf(model).map(target => target === known ? {...known, learnedAt, knownAt} : target));
		if (learnedAt < known.learnedAt) {
			this.#log.info('A peer learned of the target version earlier; its staleness bound now counts from that time.', {model, version, byMs: roundMs(known.learnedAt - learnedAt)});
			this.#changes.publish('targets');
		}
	}

	/**
	Lets the staleness bound of a target version count from a later time than assumed, because the version was not set before,
	or no process could learn of it before. It never counts from later than the version was known.

	@param notBefore monotonic milliseconds
	*/
	raiseTargetTime({model, version}: Pick<ModelTarget, 'model' | 'version'>, notBefore: number): void {
		const known = this.targetsOf(model).find(target => target.version === version);
		const learnedAt = Math.min(notBefore, known?.knownAt ?? notBefore);
		if (!known || learnedAt <= known.learnedAt) {
			return;
		}

		this.#targets.set(model, this.targetsOf(model).map(target => target === known ? {...known, learnedAt} : target));
		this.#log.info('The target version was not set, or not readable, for some of the assumed time; its staleness bound now counts from later.', {
			model, version, byMs: roundMs(learnedAt - known.learnedAt),
		});
		this.#changes.publish('targets');
	}

	/**
	Adds a version that was the target before the current one, of which the store reports nothing any more. Its staleness
	bound ends first.
	*/
	addSupersededTarget(target: ModelTarget): void {
		const {model, version, learnedAt} = target;
		const known = this.targetsOf(model);
		if (known.some(other => other.version === version) || !known.some(other => other.version > version)) {
			return;
		}

		this.#targets.set(model, [...known, target].toSorted((a, b) => a.version - b.version).slice(-MAX_TARGETS_PER_MODEL));
		this.#log.info('A peer knows a target version that was superseded; its staleness bound counts, too.', {
			model, version, countedMs: roundMs(this.#clock.monotonic() - learnedAt),
		});
		this.#changes.publish('targets');
	}

	/** Target versions of the model that this process has learned of, oldest first. Each has its own staleness bound. */
	targetsOf(model: string): readonly ModelTarget[] {
		return this.#targets.get(model) ?? [];
	}

	readonly onChange = (listener: (change: FleetChange) => void): (() => void) => this.#changes.subscribe(listener);

	/** Applies a decoded store item. */
	apply(announcement: Announcement, context: AnnouncementContext): void {
		switch (announcement.kind) {
			case 'configuration': {
				this.#applyConfiguration(announcement.configuration, context);
				return;
			}

			case 'target': {
				this.#applyTarget(announcement.model, announcement.version, context);
				return;
			}

			case 'upstream': {
				this.#upstreams.apply(announcement.id, announcement.upstream, context);
				return;
			}

			case 'entry': {
				if (announcement.address === undefined) {
					this.#entries.delete(announcement.id);
				} else {
					this.#entries.set(announcement.id, announcement.address);
				}

				this.#changes.publish('entries');
				return;
			}

			case 'engines': {
				this.#engines = {directory: announcement.directory, itemRevision: context.revision};
				this.#changes.publish('engines');
				return;
			}

			case 'crasher': {
				applyCrashCount(this.#crashCounts, announcement, context);
				this.#changes.publish('crashers');
				break;
			}

			case 'evacuation': {
				if (this.#evacuations.apply(announcement)) {
					this.#changes.publish('evacuations');
				}

				break;
			}

			case 'other': {
				break;
			}
		}
	}

	/** Called once all parts of the store that are not bulky have been read. */
	markInitialized(): void {
		this.#isInitialized = true;
	}

	/** Stops the timers of upstreams whose lease may have expired. */
	close(): void {
		this.#upstreams.close();
	}

	#applyConfiguration(configuration: TrafficConfiguration, {revision, ageBoundMs}: AnnouncementContext): void {
		if (this.#inForce && revision <= this.#inForce.revision) {
			return;
		}

		// Versions only rise. A store that has gone back to a copy has an older one until the operators write theirs again.
		if (this.#inForce && configuration.version < this.#inForce.configuration.version) {
			this.#log.warn('An older configuration was read and not applied.', {version: configuration.version, inForce: this.#inForce.configuration.version, revision});
			return;
		}

		this.#inForce = {configuration, revision, learnedAt: this.#clock.monotonic()};
		this.#log.info('Configuration is in force.', {
			version: configuration.version, revision, routes: configuration.routes.length, accounts: configuration.accounts.length, ageBoundMs: roundMs(ageBoundMs),
		});
		this.#changes.publish('configuration');
	}

	#applyTarget(model: string, version: number, {revision, ageBoundMs, ageMs = Number.POSITIVE_INFINITY, isDelivered = false, sinceUnreachableMs = Number.POSITIVE_INFINITY}: AnnouncementContext): void {
		const known = this.targetOf(model);
		if (known && known.version >= version) {
			return;
		}

		// A starting process does not know when the version was set as the target.
		const countedMs = ageMs === Number.POSITIVE_INFINITY ? this.#initialTargetAgeMs() : ageMs;
		const now = this.#clock.monotonic();
		const unexplainedMs = isDelivered ? 0 : sinceUnreachableMs;
		const targets = [...this.targetsOf(model), {
			model,
			version,
			learnedAt: now - countedMs,
			knownAt: now,
			absentAt: ageBoundMs === undefined ? undefined : now - ageBoundMs,
			witnessedAt: ageMs !== Number.POSITIVE_INFINITY && unexplainedMs <= MAX_WITNESS_DELAY_MS ? now - unexplainedMs : undefined,
		}];
		this.#targets.set(model, targets.slice(-MAX_TARGETS_PER_MODEL));
		this.#log.info('New target version.', {
			model, version, previous: known?.version, revision, ageBoundMs: roundMs(ageBoundMs), countedMs: roundMs(countedMs),
		});
		this.#changes.publish('targets');
	}
}
