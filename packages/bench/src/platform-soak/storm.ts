/** Series of faults that overlap, then a final one. */
import {delay, type Random} from '@yuccawood/common';
import type {Fault, Faults, Loss} from './faults.js';

const PAUSE_MS = 700;

/** Pause within a series. */
const SERIES_PAUSE_MS = 120;
const SERIES_SHARE = 0.4;
const LONGEST_SERIES = 4;

/** Share of the storms without impairments of the store and of links. */
const BESIDE_CORE_SHARE = 0.6;

const LONGEST_AWAY_MS = 6000;

/** What happens at the end of a storm: a loss, in some right after a version was named, while the origin or the store is away. */
type Ending = {readonly loss?: Loss; readonly isAfterNaming?: boolean; readonly away?: 'origin' | 'store'};

const ENDINGS: readonly Ending[] = [
	{},
	{isAfterNaming: true, away: 'origin'},
	{loss: 'power', isAfterNaming: true},
	{loss: 'power', isAfterNaming: true, away: 'origin'},
	{loss: 'power', isAfterNaming: true, away: 'store'},
	{loss: 'power'},
	{loss: 'processes', isAfterNaming: true},
	{loss: 'processes', away: 'store'},
];

/** Injects faults for the time and resolves once all are over. */
export const runStorm = async ({faults, random, milliseconds, report}: {
	readonly faults: Faults;
	readonly random: Random;
	readonly milliseconds: number;
	readonly report: (line: string) => void;
}): Promise<void> => {
	const isBesideCore = random.next() < BESIDE_CORE_SHARE;
	const draw = (): Fault => isBesideCore ? faults.drawBesideCore() : faults.draw();
	const running: Array<Promise<void>> = [];
	const begin = ({name, run}: Fault): void => {
		report(name);
		running.push(run());
	};

	let plannedMs = 0;
	while (plannedMs < milliseconds) {
		const pauseMs = PAUSE_MS * (0.3 + random.next());
		plannedMs += pauseMs;
		await delay(pauseMs);
		const first = draw();
		begin(first);
		const more = random.next() < SERIES_SHARE ? 1 + Math.floor(random.next() * (LONGEST_SERIES - 1)) : 0;
		const isSame = random.next() < 0.5;
		for (let i = 0; i < more; i++) {
			await delay(random.next() * SERIES_PAUSE_MS);
			begin(isSame ? first : draw());
		}
	}

	running.push(...await end(ENDINGS[Math.floor(random.next() * ENDINGS.length)], {faults, random, report}));
	await Promise.all(running);
};

const end = async ({loss, isAfterNaming, away}: Ending, {faults, random, report}: {
	readonly faults: Faults;
	readonly random: Random;
	readonly report: (line: string) => void;
}): Promise<ReadonlyArray<Promise<void>>> => {
	const running: Array<Promise<void>> = [];
	if (isAfterNaming) {
		report('a version is named');
		faults.nameVersion();
		await delay(random.next() * PAUSE_MS);
	}

	if (away) {
		const milliseconds = Math.round(random.next() * LONGEST_AWAY_MS);
		report(`the ${away} goes away for ${milliseconds} ms`);
		running.push(faults.takeAway(away, milliseconds));
	}

	if (loss) {
		report(loss === 'power' ? 'all machines lose power' : 'all processes are killed');
		running.push(faults.loseAll(loss));
	}

	return running;
};
