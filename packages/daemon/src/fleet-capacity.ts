import type {MemberTable} from '@yuccawood/membership';

/** Requests that all ready upstreams together run at the same time; computed anew only after a member changed. */
export class FleetCapacity {
	readonly #members: MemberTable;
	#seen: MemberTable['members'] | undefined;
	#byPool = new Map<string, number>();

	constructor({members}: {readonly members: MemberTable}) {
		this.#members = members;
	}

	readonly current = (pool: string): number => {
		const {members} = this.#members;
		if (members !== this.#seen) {
			this.#seen = members;
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
