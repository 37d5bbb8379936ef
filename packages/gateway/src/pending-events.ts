/** Lets a process that is behind with its work notice what has already arrived. */
import {setImmediate} from 'node:timers/promises';
import type {Clock} from '@yuccawood/common';

/** A turn of the event loop that takes longer shows that the process is behind. */
const SLOW_TURN_MS = 20;

/** The end of a connection is read one turn after the data before it. */
const MIN_TURNS = 2;
const MAX_TURNS = 6;

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
