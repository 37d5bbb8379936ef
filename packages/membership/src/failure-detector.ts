import type {
	Clock, Log, Metrics, Random,
} from '@yuccawood/common';
import type {MemberDirectory} from './member-directory.js';
import {claimOf} from './messages.js';
import type {MemberRecord} from './types.js';

export type FailureDetectorOptions = {
	readonly directory: MemberDirectory;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Exchanges messages with the member; rejects if it gives no answer or another process answers. */
	readonly exchange: (member: MemberRecord) => Promise<void>;

	/** Asks a member to ping another; resolves to false if either is unreachable. */
	readonly pingVia: (helper: MemberRecord, member: MemberRecord) => Promise<boolean>;

	/** Spreads a status that this process has found. */
	readonly spread: (id: string) => void;
	readonly indirectPings: number;
	readonly suspicionMs: () => number;
};

/** Pings the members in random rounds, suspects those that give no answer, and declares them dead if nobody refutes it in time. */
export class FailureDetector {
	readonly #options: FailureDetectorOptions;
	readonly #failingSince = new Map<string, number>();
	#round: MemberRecord[] = [];

	constructor(options: FailureDetectorOptions) {
		this.#options = options;
	}

	/** Pings the next member of the round. */
	async probe(): Promise<void> {
		const member = this.#next();
		if (!member) {
			return;
		}

		if (await this.#responds(member)) {
			this.#failingSince.delete(member.id);
			return;
		}

		this.#suspect(member);
	}

	/** Declares members dead whose suspicion was not refuted in time. */
	expireSuspicions(): void {
		const {directory, clock, suspicionMs, log, metrics} = this.#options;
		const now = clock.monotonic();
		for (const member of directory.live) {
			const since = member.status === 'suspect' ? directory.changedAt(member.id) : this.#failingSince.get(member.id);
			const isOverdue = since !== undefined && now - since >= suspicionMs();
			if (!isOverdue || member.status === 'alive') {
				continue;
			}

			log.warn('Member declared dead.', {member: member.id, was: member.status});
			metrics.count('membership.deaths');
			this.#failingSince.delete(member.id);
			this.#set(member, 'dead');
		}
	}

	/** Gives all suspects their full time again, after this process was paused and could not hear refutations. */
	restartSuspicions(): void {
		this.#options.directory.touchAll();
		this.#failingSince.clear();
	}

	async #responds(member: MemberRecord): Promise<boolean> {
		const {exchange, pingVia, indirectPings, directory, random, metrics} = this.#options;
		try {
			await exchange(member);
			return true;
		} catch {
			const others = directory.live.filter(({id, status}) => id !== member.id && status === 'alive');
			const helpers = random.sample(others, indirectPings);
			const answers = await Promise.all(helpers.map(async helper => pingVia(helper, member)));
			const isReached = answers.includes(true);
			metrics.count('membership.failed_pings', {indirect: isReached ? 'answered' : 'silent'});
			return isReached;
		}
	}

	#suspect(member: MemberRecord): void {
		const {directory, clock, log, metrics} = this.#options;
		const current = directory.get(member.id);
		const isNewer = current?.incarnation !== member.incarnation || current.sequence !== member.sequence;
		if (!current || isNewer || current.status === 'dead' || current.status === 'suspect') {
			return;
		}

		if (current.status === 'leaving') {
			// A leaving member stays marked as leaving until it is dead, so its failure is only noted here.
			if (!this.#failingSince.has(member.id)) {
				this.#failingSince.set(member.id, clock.monotonic());
				this.#round.push(current);
			}

			return;
		}

		log.info('Member suspected.', {member: member.id, address: member.address});
		metrics.count('membership.suspicions');
		this.#set(current, 'suspect');
		// The next ping goes to the suspect again, so that it learns of the suspicion soon if it can refute it.
		this.#round.push(current);
	}

	#set(member: MemberRecord, status: 'suspect' | 'dead'): void {
		const [id, incarnation, sequence, , revision] = claimOf(member);
		if (this.#options.directory.applyClaim([id, incarnation, sequence, status, revision]) === 'changed') {
			this.#options.spread(id);
		}
	}

	#next(): MemberRecord | undefined {
		const {directory, random} = this.#options;
		while (true) {
			if (this.#round.length === 0) {
				this.#round = [...random.sample(directory.live, directory.live.length)];
			}

			const candidate = this.#round.pop();
			if (!candidate) {
				return undefined;
			}

			const current = directory.get(candidate.id);
			if (current && current.status !== 'dead') {
				return current;
			}
		}
	}
}
