/**
Asks peers for how long they have known of a version when this process learns of it.

News may arrive late here without a sign, because the path to the store was slow for a moment. Ages are durations, so clocks
need not agree, and peers nearer to the store learn earlier. Where no peer has known for longer, the store was away for all.
*/
import {
	delay, describeError, type Log, type PeerClient, type PeerServer, type Random,
} from '@yuccawood/common';
import {
	PEER_CALL_TIMEOUT_MS, type FleetView, type ModelTarget, type TargetAges as ToldAges,
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
	readonly region: string;

	/** All regions. The path to the store may be slow from a whole one. */
	readonly regions: readonly string[];
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
		const {peerServer, view, region} = this.#options;
		peerServer.method(AGES_METHOD, (): ToldAges => ({region, ages: view.targetAges}));
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

		const otherRegions = this.#options.regions.filter(region => region !== this.#options.region);
		for (let question = 0; question < AGE_QUESTIONS && fresh.length > 0; question++) {
			const answers = await this.#askPeers();
			for (const target of fresh.filter(other => isWitnessedBy(answers, other, otherRegions))) {
				this.#options.view.settleTarget(target);
				fresh.splice(fresh.indexOf(target), 1);
			}

			// After a restart of all there is no witness, however often they are asked.
			if (answers.length > 0 && answers.every(answer => fresh.every(target => knows(answer, target)))) {
				return;
			}

			await delay(AGE_QUESTION_MS);
		}
	}

	/** @returns the answers of those that answered */
	async #askPeers(): Promise<readonly ToldAges[]> {
		const {random, addresses} = this.#options;
		const told = await Promise.all(random.sample(addresses(), AGE_PEERS).map(async address => this.#ask(address)));
		return told.filter(answer => answer !== undefined);
	}

	async #ask(address: string): Promise<ToldAges | undefined> {
		const {view, peers, log} = this.#options;
		try {
			const told = await peers.call<ToldAges>(address, AGES_METHOD, {}, {timeoutMs: PEER_CALL_TIMEOUT_MS});
			for (const age of told.ages) {
				view.noteTargetAge(age);
			}

			return told;
		} catch (error) {
			log.info('A peer did not tell for how long it knows the versions.', {address, error: describeError(error)});
			return undefined;
		}
	}
}

const nameOf = ({model, version}: Pick<ModelTarget, 'model' | 'version'>): string => `${model}@${version}`;

const knows = ({ages}: ToldAges, target: ModelTarget): boolean => ages.some(age => nameOf(age) === nameOf(target));

/** Neighbours may have learned of the version as late as this process, so there must be a witness in each other region. */
const isWitnessedBy = (answers: readonly ToldAges[], target: ModelTarget, otherRegions: readonly string[]): boolean => {
	const witnesses = answers.filter(({ages}) => ages.some(age => age.isWitnessed && nameOf(age) === nameOf(target)));
	return witnesses.length >= AGE_WITNESSES && otherRegions.every(region => witnesses.some(witness => witness.region === region));
};
