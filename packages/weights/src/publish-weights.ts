import type {MemberTable, ServedVersion, UpstreamSummary} from '@yuccawood/membership';

/** Tells the other members what this agent's upstream answers with and which versions it can send to them. */
export const publishWeights = ({members, service, served, held, capacity}: {
	readonly members: MemberTable;
	readonly service: string;
	readonly served: readonly ServedVersion[];
	readonly held: readonly string[];

	/** Absent while the engine is down; the last one stays then. */
	readonly capacity: number | undefined;
}): void => {
	const known: UpstreamSummary = members.self.upstream ?? {
		kind: 'engine', service, ready: false, capacity: 0, served: [], held: [],
	};
	const updated = {
		...known, served, held, capacity: capacity ?? known.capacity,
	};
	if (JSON.stringify(updated) !== JSON.stringify(known)) {
		members.updateSelf({upstream: updated});
	}
};
