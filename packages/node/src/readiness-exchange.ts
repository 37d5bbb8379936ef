/** Tells the other entries whether this one takes connections, and asks them. */
import {
	describeError, type Log, type PeerClient, type PeerServer,
} from '@yuccawood/common';
import {READINESS_CALL_TIMEOUT_MS} from './constants.js';
import type {EntryState, ObservedEntry} from './handover.js';

const STATE_METHOD = 'entries.state';

/** Way to the other entries. */
export interface OtherEntries {
	/** Whether the list of entries contains this one. */
	readonly isSelfListed: () => boolean;

	/** Resolves with the states of all others, or as soon as one of them is ready. */
	readonly ask: () => Promise<readonly ObservedEntry[]>;
}

export type ReadinessExchangeOptions = {
	readonly peers: PeerClient;
	readonly peerServer: PeerServer;
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

	readonly ask = async (): Promise<readonly ObservedEntry[]> => new Promise(resolve => {
		const calls = this.#options.addresses().map(async address => {
			const state = await this.#askOne(address);
			if (state.kind === 'ready') {
				resolve([state]);
			}

			return state;
		});
		void (async () => {
			resolve(await Promise.all(calls));
		})();
	});

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
