/** Logs when older versions of a model expire, with the time since the target version became known. This shows whether a late expiry was caused by learning the version late. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import {VERSION_MARGIN_MS} from '@yuccawood/dispatch';
import type {FleetView, ModelTarget} from '@yuccawood/fleet';

export type VersionExpiryLogOptions = {
	readonly view: FleetView;
	readonly versionBoundMs: number;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

export class VersionExpiryLog {
	readonly #options: VersionExpiryLogOptions;
	readonly #scheduled = new Map<string, {readonly learnedAt: number; readonly timer: NodeJS.Timeout}>();

	constructor(options: VersionExpiryLogOptions) {
		this.#options = options;
	}

	/** Schedules a log line for each new target version, and reschedules it if the version turned out to be known for longer. */
	refresh(): void {
		const {view, clock, versionBoundMs} = this.#options;
		for (const target of view.targets) {
			const {model, version, learnedAt} = target;
			const name = `${model}@${version}`;
			const known = this.#scheduled.get(name);
			if (known?.learnedAt !== learnedAt) {
				clearTimeout(known?.timer);
				const leftMs = learnedAt + versionBoundMs - VERSION_MARGIN_MS - clock.monotonic();
				const timer = setTimeout(() => {
					this.#logExpiry(target);
				}, Math.max(0, leftMs));
				this.#scheduled.set(name, {learnedAt, timer});
			}
		}
	}

	close(): void {
		for (const {timer} of this.#scheduled.values()) {
			clearTimeout(timer);
		}
	}

	#logExpiry({model, version, learnedAt}: ModelTarget): void {
		const {clock, log, metrics} = this.#options;
		metrics.count('gateway.version_turns', {model});
		log.info('Older versions may no longer answer requests.', {model, version, learnedMsAgo: Math.round(clock.monotonic() - learnedAt)});
	}
}
