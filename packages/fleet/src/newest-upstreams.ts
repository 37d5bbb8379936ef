import type {Upstream} from './types.js';

const isAtLeast = ([usable, startedAt]: readonly [number, number], [otherUsable, otherStartedAt]: readonly [number, number]): boolean =>
	usable === otherUsable ? startedAt >= otherStartedAt : usable > otherUsable;

/**
Returns the newest upstream of each address. After a restart the earlier process stays listed until its lease expires,
although a new process already uses its port.

@param isUsable an upstream for which it is false yields to one for which it is true, however new
*/
export const newestUpstreams = (upstreams: readonly Upstream[], isUsable: (upstream: Upstream) => boolean = () => true): readonly Upstream[] => {
	const rankOf = (upstream: Upstream): readonly [number, number] => [Number(isUsable(upstream)), upstream.startedAt ?? 0];
	const newest = new Map<string, Upstream>();
	for (const upstream of upstreams) {
		const other = newest.get(upstream.address);
		if (!other || isAtLeast(rankOf(upstream), rankOf(other))) {
			newest.set(upstream.address, upstream);
		}
	}

	return [...newest.values()];
};
