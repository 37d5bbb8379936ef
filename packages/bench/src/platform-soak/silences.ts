/** Storms in which the open connections to the store go silent for good, while new ones work, beside changes and restarts. */
import {delay, type Random} from '@yuccawood/common';
import type {Faults} from './faults.js';
import type {SoakFleet} from './soak-fleet.js';

/** Mean pause between two silences, which leaves time for the bounds of changes to run out, and between two other faults. */
const SILENCE_PAUSE_MS = 5000;
const FAULT_PAUSE_MS = 900;

/** Share of silences that are followed by another one soon, and the longest time until then. */
const REPEATED_SHARE = 0.4;
const LONGEST_GAP_MS = 1500;

export class Silences {
	readonly #fleet: SoakFleet;
	readonly #faults: Faults;
	readonly #random: Random;
	readonly #report: (line: string) => void;

	constructor({fleet, faults, random, report}: {
		readonly fleet: SoakFleet;
		readonly faults: Faults;
		readonly random: Random;
		readonly report: (line: string) => void;
	}) {
		this.#fleet = fleet;
		this.#faults = faults;
		this.#random = random;
		this.#report = report;
	}

	/** Begins silences and other faults for the time and resolves once all are over. */
	async run(milliseconds: number): Promise<void> {
		await Promise.all([this.#silenceRepeatedly(milliseconds), this.#runOtherFaults(milliseconds)]);
	}

	async #silenceRepeatedly(milliseconds: number): Promise<void> {
		for (let plannedMs = 0; plannedMs < milliseconds;) {
			const pauseMs = SILENCE_PAUSE_MS * (0.5 + this.#random.next());
			const gapMs = this.#random.next() < REPEATED_SHARE ? Math.round(this.#random.next() * LONGEST_GAP_MS) : undefined;
			plannedMs += pauseMs + (gapMs ?? 0);
			this.#silence();
			if (gapMs !== undefined) {
				await delay(gapMs);
				this.#silence();
			}

			await delay(pauseMs);
		}
	}

	async #runOtherFaults(milliseconds: number): Promise<void> {
		const running: Array<Promise<void>> = [];
		for (let plannedMs = 0; plannedMs < milliseconds;) {
			const pauseMs = FAULT_PAUSE_MS * (0.3 + this.#random.next());
			plannedMs += pauseMs;
			await delay(pauseMs);
			const {name, run} = this.#faults.drawBesideCore();
			this.#report(name);
			running.push(run());
		}

		await Promise.all(running);
	}

	/** For the bounds this counts as a reset of the connections of all processes. */
	#silence(): void {
		this.#fleet.disruptions.note('reset');
		for (const path of this.#fleet.storePaths.values()) {
			path.silence();
		}

		this.#report('the open connections to the store go silent');
	}
}
