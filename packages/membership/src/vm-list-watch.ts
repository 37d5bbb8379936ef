import {
	topByWeight, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import type {VmList} from '@yuccawood/interfaces';
import {VM_LIST_LAG_MS, VM_LIST_READERS_PER_REGION} from './constants.js';
import type {MemberRecord, MemberTable} from './types.js';

/** State of a VM that the list marks as leaving. */
type LeavingListing = {
	/** Incarnation of the member when its VM was first listed as leaving; absent if unknown, because the VM was listed before this process started. */
	readonly listedIncarnation?: number;

	/** Newest incarnation seen while the VM is listed. */
	readonly latestIncarnation: number;

	/** Monotonic time in milliseconds at which the newest incarnation was first seen. */
	readonly latestSince: number;
};

/**
Polls the platform's VM list and reports the members whose VMs it marks as leaving.

Only `VM_LIST_READERS_PER_REGION` members of each region read it. Absence from the list has no meaning, because the list lags behind.
*/
export class VmListWatch {
	readonly #vmList: VmList;
	readonly #table: Pick<MemberTable, 'self' | 'members' | 'find'>;
	readonly #onLeaving: (member: MemberRecord) => Promise<void>;
	readonly #log: Log;
	readonly #metrics: Metrics;

	readonly #clock: Clock;
	readonly #leavingListings = new Map<string, LeavingListing>();
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

	/** Reads the list once, if this member is among the readers of its region. */
	async poll(): Promise<void> {
		const {self, members} = this.#table;
		const candidates = members.filter(({region, status}) => region === self.region && status === 'alive').map(({id}) => id);
		if (!topByWeight('vm-list', candidates, VM_LIST_READERS_PER_REGION).includes(self.id)) {
			return;
		}

		const answer = await this.#vmList.list();
		if (answer.err) {
			this.#metrics.count('membership.vm_list_failures', {kind: answer.val.kind});
			return;
		}

		const leaving = new Set(answer.val.filter(({state}) => state === 'leaving').map(({id}) => id));
		for (const id of this.#leavingListings.keys()) {
			if (!leaving.has(id)) {
				this.#leavingListings.delete(id);
			}
		}

		await Promise.all([...leaving].map(async id => this.#report(id)));
		this.#hasRead = true;
	}

	/** Reports the member as leaving if the listing applies to it and it is not yet known to be leaving or dead. */
	async #report(id: string): Promise<void> {
		const {find} = this.#table;
		const member = find(id);
		if (!member) {
			return;
		}

		const isAffected = this.#appliesTo(member);
		if (!isAffected || member.status === 'leaving' || member.status === 'dead') {
			return;
		}

		this.#log.info('VM list marks member as leaving.', {member: id});
		await this.#onLeaving(member);
	}

	/**
	Whether the listing applies to the process that now runs on the VM.

	For a process that was started after its VM was listed, it applies only once the listing has outlasted the lag of the list.
	*/
	#appliesTo({id, incarnation}: MemberRecord): boolean {
		const now = this.#clock.monotonic();
		const isListedBeforeStart = !this.#hasRead && id === this.#table.self.id;
		const first = this.#leavingListings.get(id) ?? {listedIncarnation: isListedBeforeStart ? undefined : incarnation, latestIncarnation: incarnation, latestSince: now};
		const listing = first.latestIncarnation === incarnation ? first : {...first, latestIncarnation: incarnation, latestSince: now};
		this.#leavingListings.set(id, listing);
		return listing.listedIncarnation === incarnation || now - listing.latestSince >= VM_LIST_LAG_MS;
	}
}

/** Polls the VM list once per period until the signal aborts. */
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
