import type {MemberTable} from '@yuccawood/membership';

/** Requests that all ready upstreams of a pool together run at the same time. Recomputed only when the member list has changed. */
export class FleetCapacity {
	readonly #members: MemberTable;

	/** Member list that `#byPool` was computed from. */
	#countedMembers: MemberTable['members'] | undefined;
	#byPool = new Map<string, number>();

	constructor({members}: {readonly members: MemberTable}) {
		this.#members = members;
	}

	/** @param pool - `model:NAME` or `service:NAME`. */
	readonly ofPool = (pool: string): number => {
		const {members} = this.#members;
		if (members !== this.#countedMembers) {
			this.#countedMembers = members;
			this.#byPool = new Map();
			for (const {status, upstream} of members) {
				if (status !== 'alive' || !upstream?.ready) {
					continue;
				}

				const names = upstream.kind === 'service' ? [`service:${upstream.service}`] : upstream.served.map(({name}) => `model:${name}`);
				for (const name of names) {
					this.#byPool.set(name, (this.#byPool.get(name) ?? 0) + upstream.capacity);
				}
			}
		}

		return this.#byPool.get(pool) ?? 0;
	};
}
