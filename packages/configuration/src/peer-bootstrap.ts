import type {
	Clock, Log, PeerClient, Random,
} from '@yuccawood/common';
import type {MemberTable} from '@yuccawood/membership';
import {START_PEERS_PER_ROUND, START_PAUSE_MAX_MS, START_PAUSE_MS} from './constants.js';
import {fetchDocument} from './peer-documents.js';
import type {Snapshot} from './types.js';

type PeerBootstrapOptions = {
	readonly members: MemberTable;
	readonly peerClient: PeerClient;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;

	/** Highest revision that this process has heard of; 0 for none. */
	readonly highestKnownRevision: () => number;

	/** Brings the document into force. @returns whether it did; a document with faults is rejected. */
	readonly tryApply: (snapshot: Snapshot) => boolean;
};

/**
Fetches the first document of a starting process from peers, for the case that the key-value service is down.

A peer may hold an old revision, and this process may have had a newer one before its restart. A document therefore
comes into force only when no peer that answered, nor the member table, knows of a higher revision.
*/
export class PeerBootstrap {
	readonly #options: PeerBootstrapOptions;
	#candidate: Snapshot | undefined;
	#highestKnownRevision = 0;
	#hasPeerAnswer = false;
	#isDone = false;

	constructor(options: PeerBootstrapOptions) {
		this.#options = options;
	}

	/** Whether a document is in force. */
	get isDone(): boolean {
		return this.#isDone;
	}

	/** Newest document received so far. */
	get candidate(): Snapshot | undefined {
		return this.#candidate;
	}

	/** Brings a document from the key-value service into force without further checks, because it is the newest revision. */
	completeWith(snapshot: Snapshot): void {
		this.#isDone ||= this.#options.tryApply(snapshot);
	}

	/** Records the answer of a peer: the highest revision that it knows of, and its document if newer than the candidate. */
	addPeerAnswer(known: number, snapshot: Snapshot | undefined): void {
		this.#hasPeerAnswer = true;
		this.#highestKnownRevision = Math.max(this.#highestKnownRevision, known);
		if (snapshot && snapshot.revision > (this.#candidate?.revision ?? 0)) {
			this.#candidate = snapshot;
		}

		this.#completeIfNewest();
	}

	/** Asks random peers in rounds until a document is in force or the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {members, random, clock, log} = this.#options;
		let pauseMs = START_PAUSE_MS;
		while (!this.#isDone && !signal.aborted) {
			const others = members.members.filter(({id, status}) => id !== members.self.id && status !== 'dead');
			await Promise.all(random.sample(others, START_PEERS_PER_ROUND).map(async ({address}) => this.#fetchFrom(address)));
			if (this.#isDone) {
				return;
			}

			log.debug('Waiting for a configuration.', {known: this.#highestKnownRevision, held: this.#candidate?.revision ?? 0});
			await clock.sleep(pauseMs * (0.5 + random.next()), signal);
			pauseMs = Math.min(START_PAUSE_MAX_MS, pauseMs * 1.5);
		}
	}

	async #fetchFrom(address: string): Promise<void> {
		try {
			const {known, snapshot} = await fetchDocument({peerClient: this.#options.peerClient, address, held: this.#candidate});
			this.addPeerAnswer(known, snapshot);
		} catch {
			// A peer that does not answer neither blocks the start nor counts as an answer.
		}
	}

	#completeIfNewest(): void {
		const known = Math.max(this.#highestKnownRevision, this.#options.highestKnownRevision());
		if (this.#hasPeerAnswer && this.#candidate && this.#candidate.revision >= known) {
			this.completeWith(this.#candidate);
		}
	}
}
