import type {MemberTable, ServedVersion, UpstreamSummary} from '@yuccawood/membership';

/** Publishes in the member table which versions this agent's upstream serves and which ones this agent can send to peers. */
export const publishWeights = ({members, service, served, held, capacity}: {
	readonly members: MemberTable;
	readonly service: string;
	readonly served: readonly ServedVersion[];

	/** Hashes of the manifests whose chunks are all in the store. */
	readonly held: readonly string[];

	/** Capacity that the engine reports; `undefined` while it is down, and the last known one is kept then. */
	readonly capacity: number | undefined;
}): void => {
	const current: UpstreamSummary = members.self.upstream ?? {
		kind: 'engine', service, ready: false, capacity: 0, served: [], held: [],
	};
	const updated = {
		...current, served, held, capacity: capacity ?? current.capacity,
	};
	if (JSON.stringify(updated) !== JSON.stringify(current)) {
		members.updateSelf({upstream: updated});
	}
};
