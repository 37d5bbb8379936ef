/** Tells in the log when the oldest version that may answer changes, so that a late turn can be traced to when the version was learned. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import {VERSION_MARGIN_MS} from '@yuccawood/dispatch';
import type {FleetView, ModelTarget} from '@yuccawood/fleet';

export type VersionTurnsOptions = {
	readonly view: FleetView;
	readonly versionBoundMs: number;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

export class VersionTurns {
	readonly #options: VersionTurnsOptions;
	readonly #timers = new Map<ModelTarget, NodeJS.Timeout>();

	constructor(options: VersionTurnsOptions) {
		this.#options = options;
	}

	/** Notes versions that were named since the last call. */
	refresh(): void {
		const {view, clock, versionBoundMs} = this.#options;
		for (const target of view.targets) {
			if (!this.#timers.has(target)) {
				const leftMs = target.learnedAt + versionBoundMs - VERSION_MARGIN_MS - clock.monotonic();
				this.#timers.set(target, setTimeout(() => {
					this.#tell(target);
				}, Math.max(0, leftMs)));
			}
		}
	}

	close(): void {
		for (const timer of this.#timers.values()) {
			clearTimeout(timer);
		}
	}

	#tell({model, version, learnedAt}: ModelTarget): void {
		const {clock, log, metrics} = this.#options;
		metrics.count('gateway.version_turns', {model});
		log.info('Older versions answer no more requests.', {model, version, learnedMsAgo: Math.round(clock.monotonic() - learnedAt)});
	}
}
