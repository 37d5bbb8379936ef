/** The upstreams that are listed now, with their connections and the state that this entry observes. */
import {
	describeError, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import {
	entriesSharingUpstream, upstreamSubset, type ColdLimit, type UpstreamView,
} from '@yuccawood/dispatch';
import {
	newestUpstreams, type FleetView, type Service, type Upstream,
} from '@yuccawood/fleet';
import {CONNECTION_SHARE, DEFAULT_ENTRY_COUNT, MIN_CONNECTIONS} from './constants.js';
import {UpstreamAnnouncements, type UpstreamAnnouncement} from './upstream-announcement.js';
import {UpstreamState} from './upstream-state.js';
import {UpstreamLink} from './upstream-link.js';

/**
Number of entries that share the connection limits of upstreams and the retry budgets of services. An entry that sees no
other entry is assumed not to have received the list yet, and uses {@link DEFAULT_ENTRY_COUNT}.
*/
export const assumedEntryCount = ({entries}: Pick<FleetView, 'entries'>): number => entries.size > 1 ? entries.size : DEFAULT_ENTRY_COUNT;

/** Observed state of an upstream that this entry is connected to. */
export class ConnectedUpstream extends UpstreamState {
	constructor(upstream: Upstream, readonly link: UpstreamLink, announcement: UpstreamAnnouncement, isEvacuated: () => boolean) {
		super(upstream, announcement, isEvacuated);
	}
}

export type UpstreamStatesOptions = {
	readonly view: FleetView;

	/** Id of this entry. */
	readonly selfId: string;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;

	/** What all entries together may send a cold upstream, as a factor of its tolerance and a number of requests; nothing bounds it by default. */
	readonly coldBound?: () => {readonly factor: number; readonly slack: number} | undefined;

	/** Called when bytes follow a complete answer of an upstream, with the id of the request that it answered. */
	readonly onExtraBytes?: (upstream: Upstream, requestId: string) => void;
};

export class UpstreamStates {
	readonly #options: UpstreamStatesOptions;
	readonly #states = new Map<string, ConnectedUpstream>();
	#byService: ReadonlyMap<string, readonly ConnectedUpstream[]> = new Map();
	#byAddress: ReadonlyMap<string, ConnectedUpstream> = new Map();
	readonly #announcements = new UpstreamAnnouncements();
	#subset: ReadonlySet<string> = new Set();

	/** Failure domains that were evacuated at the last refresh. */
	#evacuated: ReadonlySet<string> = new Set();

	constructor(options: UpstreamStatesOptions) {
		this.#options = options;
	}

	of(service: string): readonly ConnectedUpstream[] {
		return this.#byService.get(service) ?? [];
	}

	/** Observed state of the upstreams of a service, as input for placement. */
	viewsOf(service: string, now: number): readonly UpstreamView[] {
		const limits = this.#limitsOf(service);
		return this.of(service).map(state => state.view(now, {isInSubset: this.#subset.has(state.upstream.id), ...limits}));
	}

	viewOf(state: UpstreamState, now: number): UpstreamView {
		return state.view(now, {isInSubset: this.#subset.has(state.upstream.id), ...this.#limitsOf(state.upstream.service)});
	}

	/** Engines in the subset of this entry, whose agents it receives reports from. */
	get enginesInSubset(): readonly Upstream[] {
		const engines = new Set(this.#options.view.inForce?.configuration.services.filter(({engine}) => engine).map(({name}) => name));
		return [...this.#states.values()].map(({upstream}) => upstream).filter(({id, service}) => engines.has(service) && this.#subset.has(id));
	}

	/** Whether the upstream is a model engine, beside which an agent runs. */
	isEngine({service}: Upstream): boolean {
		return this.#configured(service)?.engine !== undefined;
	}

	find(key: string): ConnectedUpstream | undefined {
		return this.#states.get(key);
	}

	has(key: string): boolean {
		return this.#states.has(key);
	}

	atAddress(address: string): ConnectedUpstream | undefined {
		return this.#byAddress.get(address);
	}

	/** Applies the current list of upstreams: connects to new ones, and drops removed ones. One that fails leaves the others in force. */
	refresh(): void {
		const {upstreams, inForce} = this.#options.view;
		const services = inForce && new Set(inForce.configuration.services.map(({name}) => name));
		// An entry of another writer may name a service that is not configured and the address of a sound upstream.
		const listed = newestUpstreams(upstreams, ({service}) => services?.has(service) ?? true);
		const keys = new Set(listed.map(({key}) => key));
		for (const [key, state] of this.#states) {
			if (!keys.has(key)) {
				this.#states.delete(key);
				state.link.close();
			}
		}

		this.#announcements.removeOver(key => keys.has(key), this.#options.clock.monotonic());
		const byService = new Map<string, ConnectedUpstream[]>();
		const byAddress = new Map<string, ConnectedUpstream>();
		for (const upstream of listed) {
			const state = this.#stateOf(upstream);
			if (!state) {
				continue;
			}

			state.applyListing(upstream, this.#options.clock.monotonic());
			byAddress.set(upstream.address, state);
			const service = byService.get(upstream.service) ?? [];
			service.push(state);
			byService.set(upstream.service, service);
		}

		this.#recordEndedEvacuations();
		this.#byService = byService;
		this.#byAddress = byAddress;
		this.#refreshSubset();
	}

	close(): void {
		for (const {link} of this.#states.values()) {
			link.close();
		}
	}

	/** Chooses the subset of this entry from the entries and upstreams that are listed now. */
	#refreshSubset(): void {
		const {view, selfId} = this.#options;
		const entryIds = [...view.entries.keys()];
		this.#subset = new Set([...this.#byService.values()].flatMap(states => [...upstreamSubset({
			selfId, entryIds, upstreamIds: states.map(({upstream}) => upstream.id),
		})]));
	}

	#limitsOf(service: string): Pick<UpstreamView, 'maxConnections' | 'sharingEntries'> & {readonly coldLimit: ColdLimit | undefined} {
		return {maxConnections: this.#maxConnections(service), sharingEntries: this.#sharingEntries(service), coldLimit: this.#coldLimit(service)};
	}

	/** Undefined if upstreams of the service are never cold, or nothing bounds what they get meanwhile. */
	#coldLimit(service: string): ColdLimit | undefined {
		const {coldBound = () => undefined, view} = this.#options;
		const bound = coldBound();
		const cold = this.#configured(service)?.cold;
		return bound && cold && {requestsPerSecond: (cold.requestsPerSecond * bound.factor) + bound.slack, entries: Math.max(assumedEntryCount(view), DEFAULT_ENTRY_COUNT)};
	}

	/** Upstreams whose evacuation ended may have become cold meanwhile, without a word in the list. */
	#recordEndedEvacuations(): void {
		const {view, clock} = this.#options;
		for (const state of this.#states.values()) {
			const {service, failureDomain} = state.upstream;
			if (this.#evacuated.has(failureDomain) && !view.evacuatedDomains.has(failureDomain)) {
				state.recordCold(clock.monotonic() + (this.#configured(service)?.cold?.coldMs ?? 0));
			}
		}

		this.#evacuated = new Set(view.evacuatedDomains);
	}

	/**
	Connections of this entry to each upstream of a service. Follows the configuration and the number of entries, which may
	become known late.
	*/
	#maxConnections(service: string): number {
		const limit = this.#configured(service)?.maxConnections ?? MIN_CONNECTIONS;
		return Math.max(MIN_CONNECTIONS, Math.floor(limit * CONNECTION_SHARE / assumedEntryCount(this.#options.view)));
	}

	/**
	Plain services report their load with each answer only, and answer so soon that few requests of other entries are
	unknown.
	*/
	#sharingEntries(service: string): number {
		return this.#configured(service)?.engine ? entriesSharingUpstream(assumedEntryCount(this.#options.view), this.of(service).length) : 1;
	}

	#configured(service: string): Service | undefined {
		return this.#options.view.inForce?.configuration.services.find(({name}) => name === service);
	}

	/** @returns undefined if no connections can be made for its address */
	#stateOf(upstream: Upstream): ConnectedUpstream | undefined {
		const known = this.#states.get(upstream.key);
		if (known) {
			return known;
		}

		try {
			const state = new ConnectedUpstream(upstream, this.#connect(upstream), this.#announcements.of(upstream.key), () => this.#options.view.evacuatedDomains.has(upstream.failureDomain));
			this.#states.set(upstream.key, state);
			return state;
		} catch (error) {
			const {id, address} = upstream;
			this.#options.metrics.count('gateway.unusable_upstreams');
			this.#options.log.error('A listed upstream cannot be used; the others stay in force.', {upstream: id, address, error: describeError(error)});
			return undefined;
		}
	}

	#connect(upstream: Upstream): UpstreamLink {
		const {onExtraBytes} = this.#options;
		return new UpstreamLink({
			address: upstream.address,
			onExtraBytes(requestId) {
				onExtraBytes?.(upstream, requestId);
			},
		});
	}
}
