/** What this process believes: configuration, upstreams, target versions, other entries. */
import {Publisher, type Clock, type Log} from '@yuccawood/common';
import {AGE_TOLERANCE_MS, LEASE_EXPIRY_GRACE_MS, MAX_TARGETS_PER_MODEL} from './constants.js';
import type {
	Announcement, EngineDirectory, Learning, ModelTarget, TargetAge, TrafficConfiguration, Upstream,
} from './types.js';

export type FleetChange = 'configuration' | 'upstreams' | 'targets' | 'entries' | 'crashers' | 'engines';

/** A configuration with where and when it was learned. */
export type ConfigurationInForce = {
	readonly configuration: TrafficConfiguration;
	readonly revision: number;

	/** Monotonic milliseconds. */
	readonly learnedAt: number;
};

/** The directory of engines with the revision of its item. */
export type StoredDirectory = {
	readonly directory: EngineDirectory;

	/** Store revision of the item; 0 for a directory that was made here. */
	readonly itemRevision: number;
};

const roundMs = (milliseconds: number | undefined): number | undefined => milliseconds === undefined ? undefined : Math.round(milliseconds);

export class FleetView {
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #initialTargetAgeMs: () => number;
	readonly #changes = new Publisher<FleetChange>();
	readonly #upstreams = new Map<string, Upstream>();
	#upstreamList: readonly Upstream[] | undefined;
	readonly #graceTimers = new Map<string, NodeJS.Timeout>();
	readonly #targets = new Map<string, readonly ModelTarget[]>();
	readonly #entries = new Map<string, string>();
	readonly #crashesByFingerprint = new Map<string, number>();
	#inForce: ConfigurationInForce | undefined;
	#engines: StoredDirectory | undefined;
	#isCurrent = false;

	constructor({clock, log, initialTargetAgeMs = () => 0}: {
		readonly clock: Clock;
		readonly log: Log;

		/** Age of the versions that were named before this process knew of any, in milliseconds. */
		readonly initialTargetAgeMs?: () => number;
	}) {
		this.#initialTargetAgeMs = initialTargetAgeMs;
		this.#clock = clock;
		this.#log = log.part('fleet');
	}

	get inForce(): ConfigurationInForce | undefined {
		return this.#inForce;
	}

	/** Whether all urgent parts of the store were read once. */
	get isCurrent(): boolean {
		return this.#isCurrent;
	}

	/** What the store says of engines and their origin, for processes that do not follow the configuration. */
	get engines(): StoredDirectory | undefined {
		return this.#engines;
	}

	/** The same array until the list changes. */
	get upstreams(): readonly Upstream[] {
		this.#upstreamList ??= [...this.#upstreams.values()];
		return this.#upstreamList;
	}

	/** Peer addresses of the other entries by id. */
	get entries(): ReadonlyMap<string, string> {
		return this.#entries;
	}

	/** Upstream crashes by fingerprint of the request that was running. */
	get crashers(): ReadonlyMap<string, number> {
		return this.#crashesByFingerprint;
	}

	/** Versions of all models that were named since this process started. */
	get targets(): readonly ModelTarget[] {
		return [...this.#targets.values()].flat();
	}

	/** Newest named version of the model. */
	targetOf(model: string): ModelTarget | undefined {
		return this.targetsOf(model).at(-1);
	}

	/** For how long the versions are known here, for peers that learned of them later. */
	get targetAges(): readonly TargetAge[] {
		const now = this.#clock.monotonic();
		return this.targets.map(({model, version, namedBefore, isWitnessed}) => ({
			model, version, ageMs: now - namedBefore, isWitnessed,
		}));
	}

	/** Takes from a peer for how long it has known of a version. Unknown versions are left to the store. */
	noteTargetAge({model, version, ageMs}: Omit<TargetAge, 'isWitnessed'>): void {
		const known = this.targetsOf(model).find(target => target.version === version);
		const namedBefore = this.#clock.monotonic() - ageMs;
		if (!known || namedBefore > known.namedBefore - AGE_TOLERANCE_MS) {
			return;
		}

		const learnedAt = Math.min(known.learnedAt, namedBefore);
		this.#targets.set(model, this.targetsOf(model).map(target => target === known ? {...known, learnedAt, namedBefore} : target));
		if (learnedAt < known.learnedAt) {
			this.#log.info('A peer has known of the version for longer; its bound counts from then.', {model, version, byMs: roundMs(known.learnedAt - learnedAt)});
			this.#changes.publish('targets');
		}
	}

	/**
	Takes what enough peers have witnessed in place of a cautious assumption: while the store was away for all of them, nobody
	could learn of the version, and its bound counts from when it became known.
	*/
	settleTarget({model, version}: Pick<ModelTarget, 'model' | 'version'>): void {
		const known = this.targetsOf(model).find(target => target.version === version);
		if (!known || known.learnedAt === known.namedBefore) {
			return;
		}

		this.#targets.set(model, this.targetsOf(model).map(target => target === known ? {...known, learnedAt: known.namedBefore} : target));
		this.#log.info('Peers have not known of the version for longer; its bound counts from when it became known.', {model, version, byMs: roundMs(known.namedBefore - known.learnedAt)});
		this.#changes.publish('targets');
	}

	/** Versions of the model that were named since this process started, oldest first. Each has its own bound. */
	targetsOf(model: string): readonly ModelTarget[] {
		return this.#targets.get(model) ?? [];
	}

	readonly onChange = (listener: (change: FleetChange) => void): (() => void) => this.#changes.subscribe(listener);

	/** Takes one announcement. */
	apply(announcement: Announcement, learning: Learning): void {
		const {mayBeLapse} = learning;
		switch (announcement.kind) {
			case 'configuration': {
				this.#applyConfiguration(announcement.configuration, learning);
				return;
			}

			case 'target': {
				this.#applyTarget(announcement.model, announcement.version, learning);
				return;
			}

			case 'upstream': {
				this.#applyUpstream(announcement.id, announcement.upstream, mayBeLapse);
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
				this.#engines = {directory: announcement.directory, itemRevision: learning.revision};
				this.#changes.publish('engines');
				return;
			}

			case 'crasher': {
				this.#crashesByFingerprint.set(announcement.fingerprint, announcement.crashes);
				this.#changes.publish('crashers');
				break;
			}

			case 'other': {
				break;
			}
		}
	}

	/** Notes that all urgent parts of the store were read once. */
	markCurrent(): void {
		this.#isCurrent = true;
	}

	/** Stops the timers of lapsed entries. */
	close(): void {
		for (const timer of this.#graceTimers.values()) {
			clearTimeout(timer);
		}

		this.#graceTimers.clear();
	}

	#applyConfiguration(configuration: TrafficConfiguration, {revision, ageBoundMs}: Learning): void {
		if (this.#inForce && revision <= this.#inForce.revision) {
			return;
		}

		this.#inForce = {configuration, revision, learnedAt: this.#clock.monotonic()};
		this.#log.info('Configuration is in force.', {
			version: configuration.version, revision, routes: configuration.routes.length, accounts: configuration.accounts.length, ageBoundMs: roundMs(ageBoundMs),
		});
		this.#changes.publish('configuration');
	}

	#applyTarget(model: string, version: number, {revision, ageBoundMs, ageMs}: Learning): void {
		const known = this.targetOf(model);
		if (known && known.version >= version) {
			return;
		}

		// A process that starts does not know how long ago a version was named.
		const countedMs = ageMs ?? this.#initialTargetAgeMs();
		const now = this.#clock.monotonic();
		const targets = [...this.targetsOf(model), {
			model, version, learnedAt: now - countedMs, namedBefore: now, isWitnessed: ageMs !== undefined,
		}];
		this.#targets.set(model, targets.slice(-MAX_TARGETS_PER_MODEL));
		this.#log.info('New target version.', {
			model, version, previous: known?.version, revision, ageBoundMs: roundMs(ageBoundMs), countedMs: roundMs(countedMs),
		});
		this.#changes.publish('targets');
	}

	#applyUpstream(id: string, upstream: Upstream | undefined, mayBeLapse: boolean): void {
		clearTimeout(this.#graceTimers.get(id));
		this.#graceTimers.delete(id);
		const known = this.#upstreams.get(id);
		if (upstream) {
			if (known?.key !== upstream.key || known.state !== upstream.state || known.model?.version !== upstream.model?.version) {
				this.#log.info('Upstream is listed.', {
					id, service: upstream.service, address: upstream.address, state: upstream.state, model: upstream.model,
				});
			}

			this.#upstreams.set(id, upstream);
			this.#upstreamList = undefined;
			this.#changes.publish('upstreams');
			return;
		}

		if (!known) {
			return;
		}

		if (mayBeLapse && known.state === 'ready') {
			this.#log.warn('Upstream entry may have lapsed with the store; it is kept for a short time.', {id, keptMs: LEASE_EXPIRY_GRACE_MS});
			this.#graceTimers.set(id, setTimeout(() => {
				this.#removeUpstream(id);
			}, LEASE_EXPIRY_GRACE_MS));
			return;
		}

		this.#removeUpstream(id);
	}

	#removeUpstream(id: string): void {
		this.#graceTimers.delete(id);
		if (this.#upstreams.delete(id)) {
			this.#upstreamList = undefined;
			this.#log.info('Upstream is no longer listed.', {id});
			this.#changes.publish('upstreams');
		}
	}
}
