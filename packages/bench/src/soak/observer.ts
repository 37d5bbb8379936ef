/** Samples the configuration revision of every process. */
import {INVARIANT_VIOLATIONS_METRIC, runPeriodically} from '@yuccawood/common';
import type {RevisionSample} from './evidence.js';
import type {SoakSystem} from './system.js';

const SAMPLE_INTERVAL_MS = 250;

const countBroken = (counters: Readonly<Record<string, number>>): number => Object.entries(counters)
	.filter(([name]) => name.startsWith(INVARIANT_VIOLATIONS_METRIC))
	.reduce((sum, [, count]) => sum + count, 0);

export class Observer {
	readonly #system: SoakSystem;
	readonly #samples: RevisionSample[] = [];

	constructor({system}: {readonly system: SoakSystem}) {
		this.#system = system;
	}

	get samples(): readonly RevisionSample[] {
		return this.#samples;
	}

	async run(signal: AbortSignal): Promise<void> {
		await runPeriodically(async () => {
			await Promise.all([...this.#system.fleet.vms.keys()].map(async id => this.#sample(id)));
		}, {
			signal,
			pauseMs: SAMPLE_INTERVAL_MS,
			onError() {
				// Processes that do not answer give no sample.
			},
		});
	}

	/** A process that is still starting has taken no work, so its revision counts only from then on. */
	async #sample(id: string): Promise<void> {
		const at = Date.now();
		try {
			const {phase, revision, counters} = await this.#system.fleet.status(id);
			if (phase !== 'starting') {
				this.#samples.push({
					process: id, at, revision, brokenInvariants: countBroken(counters),
				});
			}
		} catch {
			// The process is down or frozen.
		}
	}
}
