/** Asks peers for changes of the parts of the store that this process cannot reach. */
import {
	delay, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import {PEER_POLL_INTERVAL_MS} from './constants.js';
import type {PartState, StoreItem} from './item-source.js';
import type {PartFollower} from './part-follower.js';
import {readPeerAnswer} from './peer-items.js';

/** Asks a peer for the missing items of these parts, which are either all bulky or all not. Resolves to undefined when no peer responded, otherwise to its answer, whose type is not checked. */
export type AskPeer = (parts: readonly PartState[], isBulky: boolean) => Promise<unknown>;

export type PeerPollOptions = {
	readonly askPeer: AskPeer;
	readonly parts: readonly PartFollower[];
	readonly isBulky: boolean;
	readonly isStoreAway: () => boolean;
	readonly onItems: (items: readonly StoreItem[]) => void;

	/** An error of one round must not end the loop. */
	readonly onError: (error: unknown) => void;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

const takeFromPeer = (answer: unknown, asked: readonly PartState[], {parts, log, metrics, onItems}: PeerPollOptions): void => {
	const {items, known, unreadable} = readPeerAnswer(answer, asked);
	if (unreadable > 0) {
		metrics.count('fleet.unreadable_items', {}, unreadable);
		log.warn('A peer sent items that cannot be read; they were ignored.', {items: unreadable});
	}

	if (items.length > 0) {
		log.info('Changes were learned from a peer while the store is away.', {items: items.length});
		onItems(items);
	}

	for (const follower of parts.filter(({part}) => known.includes(part.prefix))) {
		follower.recordToldByPeer();
	}
};

/** Runs until the signal aborts. */
export const pollPeers = async (options: PeerPollOptions, signal: AbortSignal): Promise<void> => {
	const {askPeer, parts, isBulky, isStoreAway, onError, random} = options;
	while (!signal.aborted) {
		await delay(PEER_POLL_INTERVAL_MS * (0.75 + (random.next() / 2)), signal);
		const isAway = isStoreAway();
		const unreachable = parts.filter(({part, isFailing, isReceiving}) => part.isBulky === isBulky && (isAway || isFailing) && !isReceiving);
		if (unreachable.length === 0 || signal.aborted) {
			continue;
		}

		try {
			const states = unreachable.map(({state}) => state);
			takeFromPeer(await askPeer(states, isBulky), states, options);
		} catch (error) {
			onError(error);
		}
	}
};
