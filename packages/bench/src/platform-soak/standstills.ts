/**
Storms in which paths to upstreams stand still and then deliver, and all entries stop together while their calls to each other
get no answer.
*/
import {delay, type Random} from '@yuccawood/common';
import type {SoakFleet} from './soak-fleet.js';
import type {Breach} from './types.js';

/** Mean pause between two standstills, and their shortest and longest time. */
const PAUSE_MS = 1500;
const SHORTEST_MS = 600;
const LONGEST_MS = 3500;

/** Share of standstills that hold all paths. */
const ALL_SHARE = 0.2;

/** Share of storms with stops. What reaches upstreams is judged at entries that have run for a while. */
const STOP_SHARE = 0.5;

/** Share of stops that are followed by another one while entries are still away, and the longest time until then. */
const SECOND_STOP_SHARE = 0.3;
const LONGEST_STOP_GAP_MS = 2500;
const LONGEST_AWAY_MS = 1500;

/** Time after SIGTERM by which the last question of the load balancer that is answered with 200 must have come, and time for which it is watched. */
const LAST_READY_MS = 2000;
const WATCH_MS = 2600;

/** Entries that may count as ready for longer: one, or this share of those that were ready. */
const LONGER_SHARE = 0.25;

export class Standstills {
	readonly #fleet: SoakFleet;
	readonly #random: Random;
	readonly #now: () => number;
	readonly #report: (line: string) => void;
	readonly #note: (breach: Omit<Breach, 'at'>) => void;

	constructor({fleet, random, now, report, note}: {
		readonly fleet: SoakFleet;
		readonly random: Random;
		readonly now: () => number;
		readonly report: (line: string) => void;
		readonly note: (breach: Omit<Breach, 'at'>) => void;
	}) {
		this.#fleet = fleet;
		this.#random = random;
		this.#now = now;
		this.#report = report;
		this.#note = note;
	}

	/** Resolves once all is over. Everything is drawn before the first wait, so that it depends on the seed alone. */
	async run(milliseconds: number): Promise<void> {
		const hasStops = this.#random.next() < STOP_SHARE;
		const stopsAtMs = this.#random.next() * milliseconds;
		const secondGapMs = this.#random.next() < SECOND_STOP_SHARE ? this.#random.next() * LONGEST_STOP_GAP_MS : undefined;
		const awayMs = this.#fleet.entries.map(() => Math.round(this.#random.next() * LONGEST_AWAY_MS));
		const stops = async (): Promise<void> => {
			await delay(stopsAtMs);
			const first = this.#stopAll(awayMs);
			if (secondGapMs !== undefined) {
				await delay(secondGapMs);
				await this.#stopAll(awayMs);
			}

			await first;
		};

		await Promise.all([hasStops ? stops() : undefined, this.#standStill(milliseconds)]);
	}

	async #standStill(milliseconds: number): Promise<void> {
		const running: Array<Promise<void>> = [];
		for (let plannedMs = 0; plannedMs < milliseconds;) {
			const pauseMs = PAUSE_MS * (0.5 + this.#random.next());
			const lastMs = Math.round(SHORTEST_MS + (this.#random.next() * (LONGEST_MS - SHORTEST_MS)));
			const {upstreams} = this.#fleet;
			const drawn = upstreams[Math.floor(this.#random.next() * upstreams.length)];
			const held = this.#random.next() < ALL_SHARE ? upstreams : [drawn];
			plannedMs += pauseMs;
			await delay(pauseMs);
			this.#report(`the path to ${held === upstreams ? 'all upstreams' : drawn.id} stands still for ${lastMs} ms`);
			this.#fleet.notePathFault(lastMs);
			running.push(...held.map(async upstream => this.#fleet.holdPath(upstream, lastMs)));
		}

		await Promise.all(running);
	}

	async #stopAll(awayMs: readonly number[]): Promise<void> {
		const {entries} = this.#fleet;
		this.#report('all entries stop, and none hears the others');
		this.#fleet.hideEntries();
		const stoppedAt = this.#now();
		const stops = entries.map(async (entry, index) => entry.stop(awayMs[index]));
		await delay(WATCH_MS);
		const longer = entries.filter((_, index) => this.#fleet.lastReadyAt(index) > stoppedAt + LAST_READY_MS);
		if (longer.length > Math.max(1, entries.length * LONGER_SHARE)) {
			this.#note({promise: 'ready', detail: `${longer.map(({name}) => name).join(', ')} counted as ready over ${LAST_READY_MS} ms after SIGTERM`});
		}

		await Promise.all(stops);
	}
}
