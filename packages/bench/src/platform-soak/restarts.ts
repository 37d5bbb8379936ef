/** Storms in which entries restart under load, beside changes of the configuration, reloads and kills. */
import {delay, type Random} from '@yuccawood/common';
import type {Faults} from './faults.js';
import type {NodeProcess} from './node-process.js';
import type {SoakFleet} from './soak-fleet.js';

/** Longest time between the stops of two entries, and from the end of one until it is started again. */
const LONGEST_GAP_MS = 2000;
const LONGEST_AWAY_MS = 3000;
const LONGEST_SERIES = 4;

/** Pause within a series. */
const SERIES_PAUSE_MS = 250;
const PAUSE_MS = 900;

/** Share of requests that upstreams answer slowly meanwhile. */
const SLOW_SHARE = 0.2;

export class Restarts {
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

	/** Begins restarts and changes for the time and resolves once all are over. */
	async run(milliseconds: number): Promise<void> {
		this.#setSlowShare(SLOW_SHARE);
		const running = [this.#restartAll()];
		let plannedMs = 0;
		while (plannedMs < milliseconds) {
			const pauseMs = PAUSE_MS * (0.3 + this.#random.next());
			plannedMs += pauseMs;
			await delay(pauseMs);
			running.push(this.#beginNext());
		}

		await Promise.all(running);
		this.#setSlowShare(0);
	}

	/** All at once, or one after the other in any order. Everything is drawn before the first wait, so that it depends on the seed alone. */
	async #restartAll(): Promise<void> {
		const gapMs = this.#pick([0, LONGEST_GAP_MS, this.#random.next() * LONGEST_GAP_MS]);
		const order = this.#fleet.entries
			.map(entry => ({entry, rank: this.#random.next(), awayMs: Math.round(this.#random.next() * LONGEST_AWAY_MS)}))
			.sort((a, b) => a.rank - b.rank);
		this.#report(`entries are stopped ${Math.round(gapMs)} ms apart`);
		await Promise.all(order.map(async ({entry, awayMs}, index) => {
			await delay(index * gapMs);
			await entry.stop(awayMs);
		}));
	}

	async #beginNext(): Promise<void> {
		const entry = this.#pick(this.#fleet.entries);
		const others: ReadonlyArray<() => Promise<void>> = [
			async () => this.#inSeries('the configuration is written again', async () => {
				this.#faults.writeConfiguration();
			}),
			async () => this.#inSeries(`reload ${entry.name}`, async () => entry.reload()),
			async () => this.#inSeries('reload all entries', async () => this.#reloadAll()),
			async () => this.#inSeries(`kill ${entry.name} and others`, async index => {
				const {entries} = this.#fleet;
				entries[(entries.indexOf(entry) + index) % entries.length].kill();
			}),
			async () => this.#restartAll(),
		];
		await this.#pick(others)();
	}

	async #inSeries(name: string, act: (index: number) => Promise<void>): Promise<void> {
		const count = 1 + Math.floor(this.#random.next() * LONGEST_SERIES);
		const pausesMs = Array.from({length: count}, () => this.#random.next() * SERIES_PAUSE_MS);
		this.#report(`${name}, ${count} times`);
		const acts: Array<Promise<void>> = [];
		for (const [index, pauseMs] of pausesMs.entries()) {
			acts.push(act(index));
			await delay(pauseMs);
		}

		await Promise.all(acts);
	}

	async #reloadAll(): Promise<void> {
		await Promise.all(this.#fleet.entries.map(async (entry: NodeProcess) => entry.reload()));
	}

	#setSlowShare(share: number): void {
		for (const {requests} of this.#fleet.upstreams) {
			requests.slowShare = share;
		}
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.#random.next() * items.length)];
	}
}
