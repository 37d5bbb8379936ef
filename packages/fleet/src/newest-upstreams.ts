import type {Upstream} from './types.js';

/**
Returns the newest upstream of each address. After a restart the earlier process stays listed until its lease expires,
although a new process already uses its port.
*/
export const newestUpstreams = (upstreams: readonly Upstream[]): readonly Upstream[] => {
	const newest = new Map<string, Upstream>();
	for (const upstream of upstreams) {
		const other = newest.get(upstream.address);
		if (!other || (upstream.startedAt ?? 0) >= (other.startedAt ?? 0)) {
			newest.set(upstream.address, upstream);
		}
	}

	return [...newest.values()];
};
