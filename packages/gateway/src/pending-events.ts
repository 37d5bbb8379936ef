/** Lets a process that is behind with its work notice what has already arrived. */
import {setImmediate} from 'node:timers/promises';
import type {Clock} from '@yuccawood/common';

/** A turn of the event loop that takes longer shows that the process is behind. */
const SLOW_TURN_MS = 20;

/** The end of a connection is read one turn after the data before it. */
const MIN_TURNS = 2;
const MAX_TURNS = 6;

/** A turn counts as short within this time, or within this share of the time for which a short one was waited for. */
const SHORT_TURN_MS = 1;
const SHORT_TURN_SHARE = 0.02;

/**
Resolves when the events that the kernel holds now have been handled, such as the close of a caller's connection behind its
request. While turns are slow, more of them may have arrived, so it waits for a few more turns.
*/
export const handlePendingEvents = async ({monotonic}: Pick<Clock, 'monotonic'>): Promise<void> => {
	let isSlow = false;
	for (let turn = 0; turn < (isSlow ? MAX_TURNS : MIN_TURNS); turn++) {
		const startedAt = monotonic();
		await setImmediate();
		isSlow = monotonic() - startedAt > SLOW_TURN_MS;
	}
};

/**
Resolves at the end of a short turn of the event loop before which nothing was held back. What the kernel has got since the poll
of that turn is not known yet, so the shorter the turn, the less that can be.

@param end monotonic time in milliseconds after which any turn will do
*/
export const endOfShortTurn = async ({monotonic}: Pick<Clock, 'monotonic'>, {end, isHeld}: {readonly end: number; readonly isHeld: () => boolean}): Promise<void> => {
	const startedAt = monotonic();
	for (;;) {
		const turnStartedAt = monotonic();
		await setImmediate();
		const now = monotonic();
		const isShort = now - turnStartedAt <= Math.max(SHORT_TURN_MS, (now - startedAt) * SHORT_TURN_SHARE);
		if (now >= end || (isShort && !isHeld())) {
			return;
		}
	}
};
