/**
Asks peers for how long they have known of a version when this process learns of it.

News may arrive late here without a sign, because the way to the store was slow for a moment. Ages are durations, so clocks
need not agree, and peers nearer to the store learn earlier.
*/
import {
	describeError, type Log, type PeerClient, type PeerServer, type Random,
} from '@yuccawood/common';
import {PEER_CALL_TIMEOUT_MS, type FleetView, type TargetAge} from '@yuccawood/fleet';
import {AGE_PEERS} from './constants.js';

const AGES_METHOD = 'fleet.targetAges';

export type TargetAgesOptions = {
	readonly view: FleetView;
	readonly peers: PeerClient;
	readonly peerServer: PeerServer;
	readonly addresses: () => readonly string[];
	readonly random: Random;
	readonly log: Log;
};

export class TargetAges {
	readonly #options: TargetAgesOptions;
	readonly #asked = new Set<string>();

	constructor(options: TargetAgesOptions) {
		this.#options = options;
	}

	/** Answers peers from now on, and asks them when a version becomes known. */
	start(): void {
		const {peerServer, view} = this.#options;
		peerServer.method(AGES_METHOD, () => view.targetAges);
		view.onChange(change => {
			if (change === 'targets') {
				void this.#askOfNew();
			}
		});
	}

	async #askOfNew(): Promise<void> {
		const {view, random, addresses} = this.#options;
		const fresh = view.targets.map(({model, version}) => `${model}@${version}`).filter(name => !this.#asked.has(name));
		if (fresh.length === 0) {
			return;
		}

		for (const name of fresh) {
			this.#asked.add(name);
		}

		await Promise.all(random.sample(addresses(), AGE_PEERS).map(async address => this.#ask(address)));
	}

	async #ask(address: string): Promise<void> {
		const {view, peers, log} = this.#options;
		try {
			const ages = await peers.call<readonly TargetAge[]>(address, AGES_METHOD, {}, {timeoutMs: PEER_CALL_TIMEOUT_MS});
			for (const age of ages) {
				view.noteTargetAge(age);
			}
		} catch (error) {
			log.info('A peer did not tell for how long it knows the versions.', {address, error: describeError(error)});
		}
	}
}
