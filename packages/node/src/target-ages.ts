/**
Asks peers for how long they have known of a version when this process learns of it.

News may arrive late here without a sign, because the way to the store was slow for a moment. Ages are durations, so clocks
need not agree, and peers nearer to the store learn earlier. Where no peer has known for longer, the store was away for all.
*/
import {
	delay, describeError, type Log, type PeerClient, type PeerServer, type Random,
} from '@yuccawood/common';
import {
	PEER_CALL_TIMEOUT_MS, type FleetView, type ModelTarget, type TargetAge,
} from '@yuccawood/fleet';
import {
	AGE_PEERS, AGE_QUESTION_MS, AGE_QUESTIONS, AGE_WITNESSES,
} from './constants.js';

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
		const fresh = this.#options.view.targets.filter(target => !this.#asked.has(nameOf(target)));
		for (const target of fresh) {
			this.#asked.add(nameOf(target));
		}

		for (let question = 0; question < AGE_QUESTIONS && fresh.length > 0; question++) {
			const answers = await this.#askPeers();
			for (const target of fresh.filter(other => isWitnessedBy(answers, other))) {
				this.#options.view.settleTarget(target);
				fresh.splice(fresh.indexOf(target), 1);
			}

			await delay(AGE_QUESTION_MS);
		}
	}

	/** @returns the answers of those that answered */
	async #askPeers(): Promise<ReadonlyArray<readonly TargetAge[]>> {
		const {random, addresses} = this.#options;
		return Promise.all(random.sample(addresses(), AGE_PEERS).map(async address => this.#ask(address)));
	}

	async #ask(address: string): Promise<readonly TargetAge[]> {
		const {view, peers, log} = this.#options;
		try {
			const ages = await peers.call<readonly TargetAge[]>(address, AGES_METHOD, {}, {timeoutMs: PEER_CALL_TIMEOUT_MS});
			for (const age of ages) {
				view.noteTargetAge(age);
			}

			return ages;
		} catch (error) {
			log.info('A peer did not tell for how long it knows the versions.', {address, error: describeError(error)});
			return [];
		}
	}
}

const nameOf = ({model, version}: Pick<ModelTarget, 'model' | 'version'>): string => `${model}@${version}`;

const isWitnessedBy = (answers: ReadonlyArray<readonly TargetAge[]>, target: ModelTarget): boolean =>
	answers.filter(ages => ages.some(age => age.isWitnessed && nameOf(age) === nameOf(target))).length >= AGE_WITNESSES;
