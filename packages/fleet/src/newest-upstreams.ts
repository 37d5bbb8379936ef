import type {Upstream} from './types.js';

/**
One start for each address. The entry of an earlier start stays listed until its lease ends, although another process has
its port already.
*/
export const newestStarts = (upstreams: readonly Upstream[]): readonly Upstream[] => {
	const newest = new Map<string, Upstream>();
	for (const upstream of upstreams) {
		const other = newest.get(upstream.address);
		if (!other || (upstream.startedAt ?? 0) >= (other.startedAt ?? 0)) {
			newest.set(upstream.address, upstream);
		}
	}

	return [...newest.values()];
};
