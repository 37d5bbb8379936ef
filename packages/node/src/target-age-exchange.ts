/**
When this process learns of a new target version, asks peers how long they have known it.

This process may learn of a version late without noticing, because its path to the store was slow for a moment. Peers nearer
to the store learn of it earlier. Ages are durations, so clocks need not be synchronised. A peer may also know until when the
version was not set, or that the store was unreachable for it until it learned of the version. That it learned late says
nothing by itself: its connections may have been dead, too.

Peers also know versions that were superseded before this process could learn of them.
*/
import {
	delay, describeError, type Clock, type Log, type PeerClient, type PeerServer, type Random,
} from '@yuccawood/common';
import {
	AGE_TOLERANCE_MS, PEER_CALL_TIMEOUT_MS, type FleetView, type ModelTarget, type TargetAges,
} from '@yuccawood/fleet';
import {
	MAX_PEERS_ASKED_FOR_AGES, AGE_ROUND_PAUSE_MS, MAX_AGE_ROUNDS, MIN_AGE_OBSERVERS,
} from './constants.js';
import {isTargetAges} from './target-ages-answer.js';
import {supersededTargets} from './superseded-targets.js';

const TARGET_AGES_METHOD = 'fleet.targetAges';

export type TargetAgeExchangeOptions = {
	readonly view: FleetView;
	readonly peers: PeerClient;
	readonly peerServer: PeerServer;
	/**
	Groups of peers. Each group is asked, since one alone may have too few processes that were running when a version was
	set.
	*/
	readonly addresses: () => ReadonlyArray<readonly string[]>;
	readonly region: string;

	/** All regions. The path to the store may be slow for a whole region. */
	readonly regions: readonly string[];
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Answer of a peer. `receivedAt` is a monotonic time in milliseconds. */
type PeerAnswer = TargetAges & {readonly receivedAt: number};

export class TargetAgeExchange {
	readonly #options: TargetAgeExchangeOptions;
	readonly #handledTargets = new Set<string>();

	constructor(options: TargetAgeExchangeOptions) {
		this.#options = options;
	}

	/** Starts to answer peers, and to ask them whenever a new target version becomes known. */
	start(): void {
		const {peerServer, view, region} = this.#options;
		peerServer.method(TARGET_AGES_METHOD, (): TargetAges => ({region, ages: view.targetAges}));
		view.onChange(change => {
			if (change === 'targets') {
				void this.#determineAgesOfNewTargets();
			}
		});
	}

	async #determineAgesOfNewTargets(): Promise<void> {
		const newTargets = this.#options.view.targets.filter(target => !this.#handledTargets.has(nameOf(target)));
		for (const target of newTargets) {
			this.#handledTargets.add(nameOf(target));
		}

		const answers = new Map<string, PeerAnswer>();
		const hasAnswered = (address: string): boolean => newTargets.every(target => reportsTarget(answers.get(address), target));
		let asked: readonly string[] = [];
		for (let round = 0; round < MAX_AGE_ROUNDS && newTargets.length > 0; round++) {
			asked = asked.length > 0 ? asked : this.#sampleAddresses();
			await Promise.all(asked.filter(address => !hasAnswered(address)).map(async address => {
				const answer = await this.#ask(address);
				if (answer) {
					answers.set(address, answer);
				}
			}));
			// Superseded versions come first: a later time for the current version must not delay the expiry of still older ones.
			this.#addSupersededTargets([...answers.values()]);
			for (const target of newTargets) {
				this.#raiseTime(target, [...answers.values()]);
			}

			// A peer that has not answered may have learned of the version earlier than all others, so it is asked again.
			if (asked.length > 0 && asked.every(address => hasAnswered(address))) {
				return;
			}

			await delay(AGE_ROUND_PAUSE_MS);
		}
	}

	#sampleAddresses(): readonly string[] {
		const {random, addresses} = this.#options;
		return addresses().flatMap(group => random.sample(group, MAX_PEERS_ASKED_FOR_AGES));
	}

	/** Applies what peers can tell of the time before which the version was not set, or was not readable for anyone. */
	#raiseTime(target: ModelTarget, answers: readonly PeerAnswer[]): void {
		const {view, regions, region} = this.#options;
		const reports = answers.flatMap(answer => answer.ages.filter(age => nameOf(age) === nameOf(target)).map(age => ({answer, age})));
		// The store tells all processes the same, so one proof is enough.
		const absences = reports.flatMap(({answer, age: {absentMs}}) => absentMs === undefined ? [] : [answer.receivedAt - absentMs]);
		const witnesses = reports.flatMap(({answer, age: {witnessedMs}}) => witnessedMs === undefined ? [] : [{region: answer.region, at: answer.receivedAt - witnessedMs}]);
		// A region may have lost its path to the store while others learned of the version, so each other region must have a witness.
		const hasWitnesses = witnesses.length >= MIN_AGE_OBSERVERS && regions.every(other => other === region || witnesses.some(witness => witness.region === other));
		const times = [...absences, ...(hasWitnesses ? witnesses.map(({at}) => at) : [])];
		if (times.length > 0) {
			view.raiseTargetTime(target, Math.max(...times));
		}
	}

	#addSupersededTargets(answers: readonly PeerAnswer[]): void {
		const {view} = this.#options;
		const reports = answers.flatMap(({ages, receivedAt}) => ages.map(age => ({age, receivedAt})));
		for (const target of supersededTargets(reports, model => view.targetsOf(model))) {
			this.#handledTargets.add(nameOf(target));
			view.addSupersededTarget(target);
		}
	}

	async #ask(address: string): Promise<PeerAnswer | undefined> {
		const {view, peers, clock, log} = this.#options;
		const askedAt = clock.monotonic();
		try {
			const answer = await peers.call<unknown>(address, TARGET_AGES_METHOD, {}, {timeoutMs: PEER_CALL_TIMEOUT_MS});
			if (!isTargetAges(answer)) {
				throw new TypeError('the answer has another form');
			}

			const {region, ages} = answer;
			const receivedAt = clock.monotonic();
			// The answer may have been on its way for most of the call.
			const delayMs = Math.max(0, receivedAt - askedAt - AGE_TOLERANCE_MS);
			const presentAges = ages.map(age => ({
				...age,
				ageMs: age.ageMs + delayMs,
				countedMs: age.countedMs + delayMs,
				absentMs: age.absentMs === undefined ? undefined : age.absentMs + delayMs,
				witnessedMs: age.witnessedMs === undefined ? undefined : age.witnessedMs + delayMs,
			}));
			for (const age of presentAges) {
				view.applyPeerTargetAge(age);
			}

			return {region, ages: presentAges, receivedAt};
		} catch (error) {
			log.info('A peer did not answer how long it has known the target versions.', {address, error: describeError(error)});
			return undefined;
		}
	}
}

const nameOf = ({model, version}: Pick<ModelTarget, 'model' | 'version'>): string => `${model}@${version}`;

const reportsTarget = (answer: TargetAges | undefined, target: ModelTarget): boolean => answer?.ages.some(age => nameOf(age) === nameOf(target)) ?? false;
