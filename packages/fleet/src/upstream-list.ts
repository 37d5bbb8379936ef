/**
The upstreams that the platform lists. One whose lease may have expired only because of a store outage stays for a grace period. One
that has left and is listed again by what may be a late report of its own waits until that is ruled out.
*/
import type {Clock, Log} from '@yuccawood/common';
import {LEASE_EXPIRY_GRACE_MS, UNKEPT_HEARTBEATS} from './constants.js';
import {isOutdated, LeftUpstreams} from './late-reports.js';
import type {AnnouncementContext, Upstream} from './types.js';

export type UpstreamListOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;
	readonly log: Log;

	/** Called after each change. */
	readonly onChange: () => void;

	/** Interval at which upstreams report, in milliseconds. If undefined, no upstream waits before it is listed again. */
	readonly heartbeatMs?: number;
};

type RemovalContext = Pick<AnnouncementContext, 'isRemoved' | 'mayBeLeaseExpiry' | 'leaseGraceMs'>;

/** An upstream that is not listed yet. */
type HeldUpstream = {upstream: Upstream; readonly timer: NodeJS.Timeout};

export class UpstreamList {
	readonly #options: UpstreamListOptions;
	readonly #upstreams = new Map<string, Upstream>();
	readonly #graceTimers = new Map<string, NodeJS.Timeout>();
	readonly #left = new LeftUpstreams();
	readonly #held = new Map<string, HeldUpstream>();
	#list: readonly Upstream[] | undefined;

	constructor(options: UpstreamListOptions) {
		this.#options = options;
	}

	/** The same array until the list changes. */
	get list(): readonly Upstream[] {
		this.#list ??= [...this.#upstreams.values()];
		return this.#list;
	}

	/** @param upstream undefined if it is no longer listed */
	apply(id: string, upstream: Upstream | undefined, context: RemovalContext): void {
		const {clock, log, heartbeatMs} = this.#options;
		const known = this.#upstreams.get(id);
		if (!upstream) {
			this.#applyRemoval(id, context);
			return;
		}

		if (known && isOutdated(upstream, known)) {
			if (heartbeatMs !== undefined && this.#graceTimers.has(id)) {
				this.#hold(upstream, heartbeatMs * UNKEPT_HEARTBEATS);
			}

			log.info('An outdated report of an upstream is ignored.', {
				id, state: upstream.state, sequence: upstream.sequence, known: known.sequence,
			});
			return;
		}

		if (heartbeatMs !== undefined && !known && upstream.state === 'ready' && this.#left.mayPrecedeLeaving(upstream, clock.monotonic())) {
			this.#hold(upstream, heartbeatMs * UNKEPT_HEARTBEATS);
			return;
		}

		this.#add(upstream);
	}

	/** Stops the timers. */
	close(): void {
		for (const timer of [...this.#graceTimers.values(), ...[...this.#held.values()].map(held => held.timer)]) {
			clearTimeout(timer);
		}

		this.#graceTimers.clear();
		this.#held.clear();
	}

	#add(upstream: Upstream): void {
		const {log, onChange} = this.#options;
		const {id} = upstream;
		this.#endGrace(id);
		this.#endHold(id);
		const known = this.#upstreams.get(id);
		if (known?.key !== upstream.key || known.state !== upstream.state || known.model?.version !== upstream.model?.version) {
			log.info('Upstream is listed.', {
				id, service: upstream.service, address: upstream.address, state: upstream.state, model: upstream.model,
			});
		}

		this.#upstreams.set(id, upstream);
		this.#list = undefined;
		onChange();
	}

	#applyRemoval(id: string, {isRemoved = false, mayBeLeaseExpiry, leaseGraceMs = LEASE_EXPIRY_GRACE_MS}: RemovalContext): void {
		const {clock, log} = this.#options;
		this.#endGrace(id);
		const known = this.#upstreams.get(id);
		if (known && mayBeLeaseExpiry && known.state === 'ready') {
			log.warn('The lease of the upstream may have expired because of a store outage; keeping the upstream for a grace period.', {id, keptMs: Math.round(leaseGraceMs)});
			this.#graceTimers.set(id, setTimeout(() => {
				this.#remove(id);
			}, leaseGraceMs));
			return;
		}

		// An entry of another writer that can't be used says nothing of the upstream, whose next report replaces it.
		const left = known ?? this.#held.get(id)?.upstream;
		if (left && isRemoved) {
			this.#left.record(left, clock.monotonic());
		}

		this.#endHold(id);
		this.#remove(id);
	}

	/** The platform removes the entry of an upstream that reports no more, so one that lasts is kept up by a live upstream. */
	#hold(upstream: Upstream, forMs: number): void {
		const {id} = upstream;
		const held = this.#held.get(id);
		if (held) {
			held.upstream = isOutdated(upstream, held.upstream) ? held.upstream : upstream;
			return;
		}

		this.#options.log.info('An upstream that left the list is in it again; it is used if its entry lasts.', {id, sequence: upstream.sequence, forMs});
		this.#held.set(id, {
			upstream, timer: setTimeout(() => {
				this.#add(this.#held.get(id)!.upstream);
			}, forMs),
		});
	}

	#endHold(id: string): void {
		clearTimeout(this.#held.get(id)?.timer);
		this.#held.delete(id);
	}

	#endGrace(id: string): void {
		clearTimeout(this.#graceTimers.get(id));
		this.#graceTimers.delete(id);
	}

	#remove(id: string): void {
		const {log, onChange} = this.#options;
		this.#graceTimers.delete(id);
		if (this.#upstreams.delete(id)) {
			this.#list = undefined;
			log.info('Upstream is no longer listed.', {id});
			onChange();
		}
	}
}
