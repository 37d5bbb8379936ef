import type {MemberTable} from '@yuccawood/membership';

/** Requests that all ready upstreams together run at the same time; computed anew only after a member changed. */
export class FleetCapacity {
	readonly #members: MemberTable;
	#seen: MemberTable['members'] | undefined;
	#capacity = 0;

	constructor({members}: {readonly members: MemberTable}) {
		this.#members = members;
	}

	readonly current = (): number => {
		const {members} = this.#members;
		if (members !== this.#seen) {
			this.#seen = members;
			this.#capacity = members
				.filter(({status, upstream}) => status === 'alive' && upstream?.ready)
				.reduce((sum, {upstream}) => sum + (upstream?.capacity ?? 0), 0);
		}

		return this.#capacity;
	};
}
