/**
Collects what all entries see of crashes, and blocks the suspects that explain them.

Each entry sees only its own requests, so it tells the others what it had at a crash. Before a suspect is blocked, the others
are asked for answers that went on well: an entry that has just started knows none, and a part that all prompts share is
present at each crash.
*/
import type {Clock, Log} from '@yuccawood/common';
import {Blocklist} from './blocklist.js';
import {
	MAX_ENQUIRIES, MIN_CRASHES, MIN_CRASHES_UNCONFIRMED, MIN_OBSERVATION_MS, WHOLE_REQUEST_DEPTH,
} from './constants.js';
import {CrashLedger} from './crash-ledger.js';
import type {
	Attribution, CrashPeers, CrashReport, Enquiry, Suspect, Testimony,
} from './types.js';

export type CrashReviewOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly peers: CrashPeers;

	/** Shares the number of crashes of a blocked suspect with the entries that start later; 0 ends the block. */
	readonly shareCrashCount: (id: string, crashes: number) => void;

	/** Whether this is the entry that tries blocked suspects. */
	readonly mayTry: () => boolean;

	/** Time of the latest data of an upstream; undefined if this entry has received none. */
	readonly lastDataAt: (upstream: string) => number | undefined;
};

export class CrashReview {
	readonly blocklist: Blocklist;
	readonly #options: CrashReviewOptions;
	readonly #log: Log;
	readonly #ledger: CrashLedger;

	/** Suspects that entries have shared, as far as they were taken over. */
	readonly #adopted = new Set<string>();
	#isReviewing = false;
	#mustReviewAgain = false;

	constructor(options: CrashReviewOptions) {
		this.#options = options;
		this.#log = options.log;
		this.#ledger = new CrashLedger(options);
		this.blocklist = new Blocklist(options);
	}

	/** Records the crash of an upstream that this entry had requests at, and tells the others. */
	recordCrash(upstream: string, suspects: readonly Suspect[], at: number): void {
		this.#ledger.recordCrash(upstream, suspects, at);
		this.#renewBlocks(suspects);
		this.#options.peers.report({upstream, ageMs: this.#options.clock.monotonic() - at, suspects});
		void this.#review();
	}

	/** Records what another entry saw of a crash. */
	applyReport({upstream, ageMs, suspects}: CrashReport): void {
		const at = this.#options.clock.monotonic() - ageMs;
		this.#ledger.recordCrash(upstream, suspects, at);
		this.#ledger.recordSignOfLife(upstream, this.#options.lastDataAt(upstream) ?? Number.NEGATIVE_INFINITY);
		this.#renewBlocks(suspects);
		void this.#review();
	}

	/** Records that a run with these suspects went on well. */
	recordSuccess(suspects: readonly Suspect[]): void {
		const now = this.#options.clock.monotonic();
		for (const {id, depth} of suspects) {
			// Few whole requests come again, so their successes matter only once they are suspected.
			if (depth === WHOLE_REQUEST_DEPTH && !this.#ledger.isSuspected(id)) {
				continue;
			}

			this.#ledger.recordSuccess(id, now);
			if (this.blocklist.isBlocked(id)) {
				this.#unblock(id, 'An answer went on well.');
				this.#options.peers.reportSuccess(id);
			}
		}
	}

	/** Records that a run with this suspect went on well at another entry. */
	applySuccess(id: string): void {
		this.#ledger.recordSuccess(id, this.#options.clock.monotonic());
		if (this.blocklist.remove(id)) {
			this.#log.warn('A suspect is no longer blocked.', {suspect: id, reason: 'An answer went on well at another entry.'});
		}
	}

	/** Whether upstreams crashed while one of the suspects was present, without a success since. */
	isSuspected(suspects: readonly Suspect[]): boolean {
		return suspects.some(({id}) => this.#ledger.crashedUnder(id).length > 0);
	}

	/** Ids of those suspects that are blocked now. */
	blockedAmong(suspects: readonly Suspect[]): readonly string[] {
		return suspects.map(({id}) => id).filter(id => this.blocklist.isBlocked(id));
	}

	/** Takes the trials of blocked suspects if all are due and this entry is the one that tries. @returns whether one request may be sent */
	takeTrials(ids: readonly string[]): boolean {
		const isDue = this.#options.mayTry() && ids.every(id => this.blocklist.msUntilTrial(id) === 0);
		return isDue && ids.every(id => this.blocklist.takeTrial(id));
	}

	/** Answers the question of another entry. */
	testify({suspects, upstreams}: Enquiry): Testimony {
		const now = this.#options.clock.monotonic();
		return {
			successes: suspects.flatMap(id => {
				const at = this.#ledger.lastSuccessAt(id);
				return at === undefined ? [] : [{id, ageMs: now - at}];
			}),
			signsOfLife: upstreams.flatMap(upstream => {
				const at = this.#options.lastDataAt(upstream);
				return at === undefined ? [] : [{upstream, ageMs: now - at}];
			}),
		};
	}

	/** Takes over the blocks that entries have shared, and ends those that they have ended. */
	applyShared(crashCounts: ReadonlyMap<string, number>): void {
		for (const [id, crashes] of crashCounts) {
			if (crashes >= MIN_CRASHES && !this.#adopted.has(id)) {
				this.#adopted.add(id);
				this.#log.info('Other entries have blocked a suspect; its requests are rejected.', {suspect: id, crashes});
				this.blocklist.add(id, {isOwn: false});
			}
		}

		for (const id of this.#adopted) {
			if (!crashCounts.has(id)) {
				this.#adopted.delete(id);
				this.blocklist.remove(id);
			}
		}
	}

	/** A crash under a blocked suspect, for example in a trial, shows that the block is right. */
	#renewBlocks(suspects: readonly Suspect[]): void {
		for (const {id} of suspects) {
			if (this.blocklist.isBlocked(id)) {
				this.blocklist.add(id, {isOwn: true});
			}
		}
	}

	async #review(): Promise<void> {
		if (this.#isReviewing) {
			this.#mustReviewAgain = true;
			return;
		}

		this.#isReviewing = true;
		try {
			do {
				this.#mustReviewAgain = false;
				await this.#blockCauses();
			} while (this.#mustReviewAgain);
		} finally {
			this.#isReviewing = false;
		}
	}

	async #blockCauses(): Promise<void> {
		const asked = new Set<string>();
		let isConfirmed = this.#isExperienced;
		for (let round = 0; round < MAX_ENQUIRIES; round++) {
			const suspects = this.#causes(MIN_CRASHES).map(({id}) => id).filter(id => !asked.has(id) && !this.blocklist.isBlocked(id));
			if (suspects.length === 0) {
				break;
			}

			const answered = await this.#enquire(suspects);
			isConfirmed ||= answered;
			for (const id of suspects) {
				asked.add(id);
			}
		}

		const causes = this.#causes(isConfirmed ? MIN_CRASHES : MIN_CRASHES_UNCONFIRMED);
		for (const {id, crashes} of causes) {
			if (asked.has(id) && !this.blocklist.isBlocked(id)) {
				this.#log.warn('Upstreams crashed under the same suspect; its requests are rejected.', {suspect: id, crashes});
				this.blocklist.add(id, {isOwn: true});
				this.#options.shareCrashCount(id, crashes);
			}
		}

		this.#unblockExplained();
	}

	get #isExperienced(): boolean {
		return this.#options.clock.monotonic() - this.#ledger.observedSince >= MIN_OBSERVATION_MS;
	}

	/** @returns whether at least half of the other entries answered */
	async #enquire(suspects: readonly string[]): Promise<boolean> {
		const askedAt = this.#options.clock.monotonic();
		const upstreams = [...new Set(suspects.flatMap(id => this.#ledger.crashedUnder(id)))];
		const {asked, testimonies} = await this.#options.peers.enquire({suspects, upstreams});
		const own = this.testify({suspects: [], upstreams});
		for (const {successes, signsOfLife} of [...testimonies, own]) {
			for (const {id, ageMs} of successes) {
				this.#ledger.recordSuccess(id, askedAt - ageMs);
			}

			for (const {upstream, ageMs} of signsOfLife) {
				this.#ledger.recordSignOfLife(upstream, askedAt - ageMs);
			}
		}

		return asked > 0 && testimonies.length * 2 >= asked;
	}

	#causes(minCrashes: number): readonly Attribution[] {
		return this.#ledger.attributions(minCrashes);
	}

	/** Ends blocks of this entry whose crashes another suspect explains by now. */
	#unblockExplained(): void {
		const causes = this.#causes(MIN_CRASHES);
		for (const id of this.blocklist.ids) {
			const isExplained = this.blocklist.isOwn(id) && causes.every(cause => cause.id !== id) && this.#ledger.crashedUnder(id).length >= MIN_CRASHES;
			if (isExplained && causes.length > 0) {
				this.#unblock(id, 'Another suspect explains the crashes.');
			}
		}
	}

	#unblock(id: string, reason: string): void {
		this.#log.warn('A suspect is no longer blocked.', {suspect: id, reason});
		this.blocklist.remove(id);
		this.#options.shareCrashCount(id, 0);
	}
}
