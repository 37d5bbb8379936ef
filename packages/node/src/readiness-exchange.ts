/** Tells the other entries whether this one takes connections, and asks them. */
import {
	delay, describeError, type Log, type PeerClient, type PeerServer, type Random,
} from '@yuccawood/common';
import {READINESS_CALL_TIMEOUT_MS, READINESS_GROUP_INTERVAL_MS, READINESS_GROUP_SIZE} from './constants.js';
import type {EntryState, ObservedEntry} from './handover.js';

const STATE_METHOD = 'entries.state';

/** Way to the other entries. */
export interface OtherEntries {
	/** Whether the list of entries contains this one. */
	readonly isSelfListed: () => boolean;

	/** Resolves with the states of all others, or as soon as one of them is enough, with that one. */
	readonly ask: (isEnough: (state: ObservedEntry) => boolean) => Promise<readonly ObservedEntry[]>;
}

export type ReadinessExchangeOptions = {
	readonly peers: PeerClient;
	readonly peerServer: PeerServer;
	readonly random: Random;
	readonly log: Log;

	/** Peer addresses of the other entries, `IP:port`. */
	readonly addresses: () => readonly string[];
	readonly isSelfListed: () => boolean;
};

export class ReadinessExchange implements OtherEntries {
	readonly #options: ReadinessExchangeOptions;

	constructor(options: ReadinessExchangeOptions) {
		this.#options = options;
	}

	/** Starts to answer the other entries. To be called before the peer server listens. */
	start(state: () => EntryState): void {
		this.#options.peerServer.method(STATE_METHOD, (): EntryState => state());
	}

	readonly isSelfListed = (): boolean => this.#options.isSelfListed();

	readonly ask = async (isEnough: (state: ObservedEntry) => boolean): Promise<readonly ObservedEntry[]> => {
		const {addresses, random} = this.#options;
		const listed = addresses();
		const inOrder = random.sample(listed, listed.length);
		const states: ObservedEntry[] = [];
		return new Promise(resolve => {
			const askGroup = async (group: readonly string[]): Promise<void> => {
				await Promise.all(group.map(async address => {
					const state = await this.#askOne(address);
					states.push(state);
					if (isEnough(state)) {
						resolve([state]);
					}
				}));
			};

			void (async () => {
				const groups: Array<Promise<void>> = [];
				for (let start = 0; start < inOrder.length && !states.some(state => isEnough(state)); start += READINESS_GROUP_SIZE) {
					const group = askGroup(inOrder.slice(start, start + READINESS_GROUP_SIZE));
					groups.push(group);
					await Promise.race([group, delay(READINESS_GROUP_INTERVAL_MS)]);
				}

				await Promise.all(groups);
				resolve(states);
			})();
		});
	};

	async #askOne(address: string): Promise<ObservedEntry> {
		const {peers, log} = this.#options;
		try {
			return await peers.call<EntryState>(address, STATE_METHOD, {}, {timeoutMs: READINESS_CALL_TIMEOUT_MS, useNewConnection: true});
		} catch (error) {
			log.info('An entry did not say whether it is ready.', {address, error: describeError(error)});
			return {kind: 'silent'};
		}
	}
}
