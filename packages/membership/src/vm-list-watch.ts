import {
	topRanked, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import type {VmList} from '@yuccawood/platform';
import {VM_LIST_READERS_PER_REGION} from './constants.js';
import type {MemberRecord, MemberTable} from './types.js';

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

	/** Incarnation for which a VM was first listed as leaving; a process started later is not meant by that listing. */
	readonly #listed = new Map<string, number>();

	constructor({vmList, table, onLeaving, log, metrics}: {
		readonly vmList: VmList;
		readonly table: Pick<MemberTable, 'self' | 'members' | 'find'>;
		readonly onLeaving: (member: MemberRecord) => Promise<void>;
		readonly log: Log;
		readonly metrics: Metrics;
	}) {
		this.#vmList = vmList;
		this.#table = table;
		this.#onLeaving = onLeaving;
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
	}

	async #report(id: string): Promise<void> {
		const {find} = this.#table;
		const member = find(id);
		if (!member) {
			return;
		}

		const incarnation = this.#listed.get(id) ?? member.incarnation;
		this.#listed.set(id, incarnation);
		if (incarnation !== member.incarnation || member.status === 'leaving' || member.status === 'dead') {
			return;
		}

		this.#log.info('VM list marks member as leaving.', {member: id});
		await this.#onLeaving(member);
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
