/** Load, health and connections of each upstream, as this entry observes them. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import {
	afterFailure, afterSuccess, afterTrialStart, entriesSharingUpstream, HEALTHY, upstreamSubset, healthStatus, type UpstreamHealth, type UpstreamView,
} from '@yuccawood/dispatch';
import {
	newestUpstreams, type FleetView, type Service, type Upstream, type UpstreamReport,
} from '@yuccawood/fleet';
import {
	DEFAULT_ENTRY_COUNT, CONNECTION_SHARE, MIN_CONNECTIONS, UPSTREAM_AVERAGE_LIFETIME_MS, UPSTREAM_AVERAGE_WEIGHT,
} from './constants.js';
import {UpstreamLink} from './upstream-link.js';

/** Age up to which an agent's report of version and switching takes precedence over the platform's list of upstreams. */
const MAX_AGENT_REPORT_AGE_MS = 2500;

/**
Number of entries that share the connection limits of upstreams and the retry budgets of services. An entry that sees no
other entry is assumed not to have received the list yet, and uses {@link DEFAULT_ENTRY_COUNT}.
*/
export const assumedEntryCount = ({entries}: Pick<FleetView, 'entries'>): number => entries.size > 1 ? entries.size : DEFAULT_ENTRY_COUNT;

/** A request that was sent and has received no data yet. `sentAt` is a monotonic time in milliseconds. */
type PendingSend = {readonly sentAt: number; readonly promptTokens: number};

export class UpstreamState {
	/** Requests of this entry that the upstream has now. */
	ownRequests = 0;

	/** Sends that have received no data yet, oldest first. */
	readonly #pendingSends = new Map<symbol, PendingSend>();
	/** Requests of all entries at the upstream, by its latest answer or its agent's latest report. */
	#reportedRequests: number | undefined;
	#reportedAt = Number.NEGATIVE_INFINITY;
	/** Requests of this entry that began since then, less those that ended. */
	#ownSinceReport = 0;
	#agentReport: UpstreamReport | undefined;
	#agentReportAt = Number.NEGATIVE_INFINITY;
	/** Newest version that an answer of the upstream stated. */
	#answeredVersion: number | undefined;
	/** Moving average. */
	#timeToFirstDataMs: number | undefined;
	#firstDataRecordedAt = Number.NEGATIVE_INFINITY;
	#health: UpstreamHealth = HEALTHY;

	constructor(public upstream: Upstream, readonly link: UpstreamLink) {}

	get health(): UpstreamHealth {
		return this.#health;
	}

	/** Adds a send that waits for its first data. @returns its key for {@link removePendingSend} */
	addPendingSend(now: number, promptTokens = 0): symbol {
		const key = Symbol('send');
		this.#pendingSends.set(key, {sentAt: now, promptTokens});
		return key;
	}

	/** Called when the first data of a send arrives, or when the send ends. */
	removePendingSend(key: symbol): void {
		this.#pendingSends.delete(key);
	}

	/** Adds the time from a send to its first data to the average of the upstream. */
	recordTimeToFirstData(milliseconds: number, now: number): void {
		this.#timeToFirstDataMs = this.#timeToFirstDataMs === undefined ? milliseconds : this.#timeToFirstDataMs + ((milliseconds - this.#timeToFirstDataMs) * UPSTREAM_AVERAGE_WEIGHT);
		this.#firstDataRecordedAt = now;
	}

	beginRequest(now: number): void {
		this.ownRequests++;
		this.#ownSinceReport++;
		if (healthStatus(this.#health, now) === 'trial') {
			this.#health = afterTrialStart(this.#health);
		}
	}

	endRequest(): void {
		this.ownRequests--;
		this.#ownSinceReport--;
	}

	updateLoad(requests: number, now: number): void {
		this.#reportedRequests = requests;
		this.#reportedAt = now;
		this.#ownSinceReport = 0;
	}

	updateVersion(version: number): void {
		this.#answeredVersion = Math.max(version, this.#answeredVersion ?? 0);
	}

	applyAgentReport(report: UpstreamReport, now: number): void {
		this.#agentReport = report;
		this.#agentReportAt = now;
		this.updateLoad(report.running + report.waiting, now);
	}

	recordSuccess(): void {
		this.#health = afterSuccess(this.#health);
	}

	/** @returns whether the upstream was suspended by this failure */
	recordFailure(now: number, isFatal: boolean): boolean {
		const before = this.#health;
		this.#health = afterFailure(before, now, {isFatal});
		return this.#health.suspendedUntil > now && before.suspendedUntil <= now;
	}

	/** Version that the upstream holds, as far as this entry knows. */
	heldVersion(now: number): number | undefined {
		const agent = this.#currentAgentReport(now);
		const version = agent ? agent.version : this.upstream.model?.version;
		return version === undefined ? undefined : Math.max(version, this.#answeredVersion ?? 0);
	}

	view(now: number, {isInSubset, maxConnections, sharingEntries}: Pick<UpstreamView, 'isInSubset' | 'maxConnections' | 'sharingEntries'>): UpstreamView {
		const {upstream} = this;
		const agent = this.#currentAgentReport(now);
		const status = healthStatus(this.#health, now);
		const pending = [...this.#pendingSends.values()];
		return {
			key: upstream.key,
			failureDomain: upstream.failureDomain,
			isInSubset,
			slots: Math.max(1, upstream.slots),
			isLeaving: upstream.state === 'draining',
			ownRequests: this.ownRequests,
			maxConnections,
			sharingEntries,
			reportedRequests: this.#reportedRequests,
			reportAgeMs: now - this.#reportedAt,
			ownSinceReport: this.#ownSinceReport,
			pace: agent?.pace ?? 1,
			heldVersion: this.heldVersion(now),
			isSwitching: agent?.isSwitching ?? false,
			startMs: now - this.#firstDataRecordedAt <= UPSTREAM_AVERAGE_LIFETIME_MS ? this.#timeToFirstDataMs : undefined,
			unansweredMs: pending.length === 0 ? 0 : now - pending[0].sentAt,
			unreadTokens: pending.reduce((sum, {promptTokens}) => sum + promptTokens, 0),
			isSuspended: status === 'suspended',
			isDueForTrial: status === 'trial',
		};
	}

	#currentAgentReport(now: number): UpstreamReport | undefined {
		return now - this.#agentReportAt <= MAX_AGENT_REPORT_AGE_MS ? this.#agentReport : undefined;
	}
}

export type UpstreamStatesOptions = {
	readonly view: FleetView;

	/** Id of this entry. */
	readonly selfId: string;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Called when bytes follow a complete answer of an upstream, with the id of the request that it answered. */
	readonly onExtraBytes?: (upstream: Upstream, requestId: string) => void;
};

export class UpstreamStates {
	readonly #options: UpstreamStatesOptions;
	readonly #states = new Map<string, UpstreamState>();
	readonly #byService = new Map<string, UpstreamState[]>();
	readonly #byAddress = new Map<string, UpstreamState>();
	#subset: ReadonlySet<string> = new Set();

	constructor(options: UpstreamStatesOptions) {
		this.#options = options;
	}

	of(service: string): readonly UpstreamState[] {
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

	find(key: string): UpstreamState | undefined {
		return this.#states.get(key);
	}

	has(key: string): boolean {
		return this.#states.has(key);
	}

	atAddress(address: string): UpstreamState | undefined {
		return this.#byAddress.get(address);
	}

	/** Applies the current list of upstreams: connects to new ones, and drops removed ones. */
	refresh(): void {
		const listed = newestUpstreams(this.#options.view.upstreams);
		const keys = new Set(listed.map(({key}) => key));
		for (const [key, state] of this.#states) {
			if (!keys.has(key)) {
				this.#states.delete(key);
				state.link.close();
			}
		}

		this.#byService.clear();
		this.#byAddress.clear();
		for (const upstream of listed) {
			const state = this.#states.get(upstream.key) ?? new UpstreamState(upstream, this.#connect(upstream));
			state.upstream = upstream;
			this.#states.set(upstream.key, state);
			this.#byAddress.set(upstream.address, state);
			const service = this.#byService.get(upstream.service) ?? [];
			service.push(state);
			this.#byService.set(upstream.service, service);
		}

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

	#limitsOf(service: string): Pick<UpstreamView, 'maxConnections' | 'sharingEntries'> {
		return {maxConnections: this.#maxConnections(service), sharingEntries: this.#sharingEntries(service)};
	}

	/** Connections of this entry to each upstream of a service. Follows the configuration and the number of entries, which may become known late. */
	#maxConnections(service: string): number {
		const limit = this.#configured(service)?.maxConnections ?? MIN_CONNECTIONS;
		return Math.max(MIN_CONNECTIONS, Math.floor(limit * CONNECTION_SHARE / assumedEntryCount(this.#options.view)));
	}

	/** Plain services report their load with each answer only, and answer so soon that few requests of other entries are unknown. */
	#sharingEntries(service: string): number {
		return this.#configured(service)?.engine ? entriesSharingUpstream(assumedEntryCount(this.#options.view), this.of(service).length) : 1;
	}

	#configured(service: string): Service | undefined {
		return this.#options.view.inForce?.configuration.services.find(({name}) => name === service);
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
