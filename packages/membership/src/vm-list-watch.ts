import {
	topRanked, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import type {VmList} from '@yuccawood/interfaces';
import {VM_LIST_LAG_MS, VM_LIST_READERS_PER_REGION} from './constants.js';
import type {MemberRecord, MemberTable} from './types.js';

type Listing = {
	/** Incarnation that ran when the VM was first listed as leaving; absent if that was before this process started. */
	readonly incarnation?: number;

	/** Newest incarnation known, and the monotonic time since which it is known. */
	readonly seen: number;
	readonly since: number;
};

/**
Reads the platform's VM list and reports the members that it marks as leaving.

Only a few members of each region read it. Absence from the list says nothing, because the list lags behind.
*/
export class VmListWatch {
	readonly #vmList: VmList;
	readonly #table: Pick<MemberTable, 'self' | 'members' | 'find'>;
	readonly #onLeaving: (member: MemberRecord) => Promise<void>;
	readonly #log: Log;
	readonly #metrics: Metrics;

	readonly #clock: Clock;
	readonly #listed = new Map<string, Listing>();
	#hasRead = false;

	constructor({vmList, table, onLeaving, clock, log, metrics}: {
		readonly vmList: VmList;
		readonly table: Pick<MemberTable, 'self' | 'members' | 'find'>;
		readonly onLeaving: (member: MemberRecord) => Promise<void>;
		readonly clock: Clock;
		readonly log: Log;
		readonly metrics: Metrics;
	}) {
		this.#vmList = vmList;
		this.#table = table;
		this.#onLeaving = onLeaving;
		this.#clock = clock;
		this.#log = log;
		this.#metrics = metrics;
	}

	/** Reads the list once if this member is one of the readers of its region. */
	async poll(): Promise<void> {
		const {self, members} = this.#table;
		const candidates = members.filter(({region, status}) => region === self.region && status === 'alive').map(({id}) => id);
		if (!topRanked('vm-list', candidates, VM_LIST_READERS_PER_REGION).includes(self.id)) {
			return;
		}

		const answer = await this.#vmList.list();
		if (answer.err) {
			this.#metrics.count('membership.vm_list_failures', {kind: answer.val.kind});
			return;
		}

		const leaving = new Set(answer.val.filter(({state}) => state === 'leaving').map(({id}) => id));
		for (const id of this.#listed.keys()) {
			if (!leaving.has(id)) {
				this.#listed.delete(id);
			}
		}

		await Promise.all([...leaving].map(async id => this.#report(id)));
		this.#hasRead = true;
	}

	async #report(id: string): Promise<void> {
		const {find} = this.#table;
		const member = find(id);
		if (!member) {
			return;
		}

		const isMeant = this.#isMeant(member);
		if (!isMeant || member.status === 'leaving' || member.status === 'dead') {
			return;
		}

		this.#log.info('VM list marks member as leaving.', {member: id});
		await this.#onLeaving(member);
	}

	/** A process that was started after its VM was listed is meant only if the listing outlasts the lag of the list. */
	#isMeant({id, incarnation}: MemberRecord): boolean {
		const now = this.#clock.monotonic();
		const isOlderThanThisProcess = !this.#hasRead && id === this.#table.self.id;
		const first = this.#listed.get(id) ?? {incarnation: isOlderThanThisProcess ? undefined : incarnation, seen: incarnation, since: now};
		const listing = first.seen === incarnation ? first : {...first, seen: incarnation, since: now};
		this.#listed.set(id, listing);
		return listing.incarnation === incarnation || now - listing.since >= VM_LIST_LAG_MS;
	}
}

/** Runs the watch until the signal aborts. */
export const runVmListWatch = async (watch: VmListWatch, {clock, periodMs, signal}: {
	readonly clock: Clock;
	readonly periodMs: number;
	readonly signal: AbortSignal;
}): Promise<void> => {
	while (!signal.aborted) {
		await watch.poll();
		await clock.sleep(periodMs, signal);
	}
};
