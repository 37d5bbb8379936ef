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

	/** Exchanges messages with the member. Rejects if no answer arrives or if a process with another id answers. */
	readonly exchange: (member: MemberRecord) => Promise<void>;

	/** Asks an intermediary to ping the member. Resolves to false if either of them gives no answer. */
	readonly pingVia: (intermediary: MemberRecord, member: MemberRecord) => Promise<boolean>;

	/** Queues the status of a member that this process has changed, to be sent to others. */
	readonly queueUpdate: (id: string) => void;
	readonly indirectPings: number;

	/** Time for which a member stays suspect before it is declared dead. */
	readonly suspicionMs: () => number;
};

/**
SWIM failure detector. Pings the members one by one in rounds of random order.

A member that answers neither a direct nor an indirect ping becomes suspect, and is declared dead unless it refutes the suspicion in time.
*/
export class FailureDetector {
	readonly #options: FailureDetectorOptions;

	/** Monotonic time of the first failed ping of each leaving member. */
	readonly #leavingUnreachableSince = new Map<string, number>();

	/** Members still to be pinged in this round; the last one is next. */
	#round: MemberRecord[] = [];

	constructor(options: FailureDetectorOptions) {
		this.#options = options;
	}

	/** Pings the next member of the round. */
	async probe(): Promise<void> {
		const member = this.#nextMember();
		if (!member) {
			return;
		}

		if (await this.#isReachable(member)) {
			this.#leavingUnreachableSince.delete(member.id);
			return;
		}

		this.#suspect(member);
	}

	/** Declares members dead whose suspicion, or whose silence while they leave, has lasted too long. */
	expireSuspicions(): void {
		const {directory, clock, suspicionMs, log, metrics} = this.#options;
		const now = clock.monotonic();
		for (const member of directory.live) {
			const since = member.status === 'suspect' ? directory.statusChangedAt(member.id) : this.#leavingUnreachableSince.get(member.id);
			const isOverdue = since !== undefined && now - since >= suspicionMs();
			if (!isOverdue || member.status === 'alive') {
				continue;
			}

			log.warn('Member declared dead.', {member: member.id, was: member.status});
			metrics.count('membership.deaths');
			this.#leavingUnreachableSince.delete(member.id);
			this.#applyStatus(member, 'dead');
		}
	}

	/** Restarts the suspicion time of all suspects, because this process was paused and could not receive refutations. */
	restartSuspicions(): void {
		this.#options.directory.resetStatusTimes();
		this.#leavingUnreachableSince.clear();
	}

	async #isReachable(member: MemberRecord): Promise<boolean> {
		const {exchange, pingVia, indirectPings, directory, random, metrics} = this.#options;
		try {
			await exchange(member);
			return true;
		} catch {
			const others = directory.live.filter(({id, status}) => id !== member.id && status === 'alive');
			const intermediaries = random.sample(others, indirectPings);
			const answers = await Promise.all(intermediaries.map(async intermediary => pingVia(intermediary, member)));
			const isReached = answers.includes(true);
			metrics.count('membership.failed_pings', {indirect: isReached ? 'answered' : 'silent'});
			return isReached;
		}
	}

	/** Marks the member as suspect, unless a newer version of its record has arrived since the ping was sent. */
	#suspect(member: MemberRecord): void {
		const {directory, clock, log, metrics} = this.#options;
		const current = directory.get(member.id);
		const isOtherVersion = current?.incarnation !== member.incarnation || current.sequence !== member.sequence;
		if (!current || isOtherVersion || current.status === 'dead' || current.status === 'suspect') {
			return;
		}

		if (current.status === 'leaving') {
			// A leaving member keeps that status until it is declared dead, so only the time of the failed ping is recorded.
			if (!this.#leavingUnreachableSince.has(member.id)) {
				this.#leavingUnreachableSince.set(member.id, clock.monotonic());
				this.#round.push(current);
			}

			return;
		}

		log.info('Member suspected.', {member: member.id, address: member.address});
		metrics.count('membership.suspicions');
		this.#applyStatus(current, 'suspect');
		// The next ping goes to the suspect again: it carries the suspicion, so a running member can refute it early.
		this.#round.push(current);
	}

	#applyStatus(member: MemberRecord, status: 'suspect' | 'dead'): void {
		const [id, incarnation, sequence, , revision] = claimOf(member);
		if (this.#options.directory.applyClaim([id, incarnation, sequence, status, revision]) === 'changed') {
			this.#options.queueUpdate(id);
		}
	}

	/** The next member to ping; starts a new round if the current one is over. */
	#nextMember(): MemberRecord | undefined {
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
