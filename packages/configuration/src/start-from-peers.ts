import type {
	Clock, Log, PeerClient, Random,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import {START_PEERS, START_ROUND_MAX_MS, START_ROUND_MS} from './constants.js';
import {fetchDocument} from './peer-documents.js';
import type {Snapshot} from './types.js';

type StartOptions = {
	readonly members: MemberTable;
	readonly peerClient: PeerClient;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;

	/** Highest revision that this process knows of. */
	readonly known: () => number;

	/** Brings the document into force. @returns whether it has no faults. */
	readonly onReady: (snapshot: Snapshot) => boolean;
};

/**
Collects documents from peers until one may come into force in a starting process.

A peer may hold an old revision, and this process may have had a newer one before its restart. A document is
therefore held back until it is the highest revision that any peer that answered knows of.
*/
export class StartFromPeers {
	readonly #options: StartOptions;
	#candidate: Snapshot | undefined;
	#known = 0;
	#isAnswered = false;
	#isDone = false;

	constructor(options: StartOptions) {
		this.#options = options;
	}

	get isDone(): boolean {
		return this.#isDone;
	}

	get candidate(): Snapshot | undefined {
		return this.#candidate;
	}

	/** Takes a document from the key-value service, whose read is the newest there is. */
	finish(snapshot: Snapshot): void {
		this.#isDone ||= this.#options.onReady(snapshot);
	}

	/** Takes the answer of a peer. */
	offer(known: number, snapshot: Snapshot | undefined): void {
		this.#isAnswered = true;
		this.#known = Math.max(this.#known, known);
		if (snapshot && snapshot.revision > (this.#candidate?.revision ?? 0)) {
			this.#candidate = snapshot;
		}

		this.#check();
	}

	/** Asks peers in rounds until a document is in force or the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {members, random, clock, log} = this.#options;
		let pauseMs = START_ROUND_MS;
		while (!this.#isDone && !signal.aborted) {
			const others = members.members.filter(({id, status}) => id !== members.self.id && status !== 'dead');
			await Promise.all(random.sample(others, START_PEERS).map(async ({address}) => this.#ask(address)));
			if (this.#isDone) {
				return;
			}

			log.debug('Waiting for a configuration.', {known: this.#known, held: this.#candidate?.revision ?? 0});
			await clock.sleep(pauseMs * (0.5 + random.next()), signal);
			pauseMs = Math.min(START_ROUND_MAX_MS, pauseMs * 1.5);
		}
	}

	async #ask(address: string): Promise<void> {
		try {
			const {known, snapshot} = await fetchDocument({peerClient: this.#options.peerClient, address, held: this.#candidate});
			this.offer(known, snapshot);
		} catch {
			// A peer that does not answer says nothing about the highest revision.
		}
	}

	#check(): void {
		const known = Math.max(this.#known, this.#options.known());
		if (this.#isAnswered && this.#candidate && this.#candidate.revision >= known) {
			this.finish(this.#candidate);
		}
	}
}
