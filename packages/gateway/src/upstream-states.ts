/** State of each upstream that this entry uses: load, health, connections. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import {
	afterFailure, afterSuccess, afterTrialStart, HEALTHY, nearUpstreams, standing, type Health, type UpstreamView,
} from '@yuccawood/dispatch';
import {
	newestStarts, type FleetView, type Upstream, type UpstreamReport,
} from '@yuccawood/fleet';
import {
	DEFAULT_ENTRY_COUNT, CONNECTION_SHARE, MIN_CONNECTIONS, UPSTREAM_AVERAGE_LIFETIME_MS, UPSTREAM_AVERAGE_WEIGHT,
} from './constants.js';
import {UpstreamLink} from './upstream-link.js';

/** Age up to which an agent's report of version and switching goes before the platform's list. */
const MAX_AGENT_REPORT_AGE_MS = 2500;

/** Entries that share the limits of upstreams and services. One that lists nobody else does not know the others yet. */
export const assumedEntryCount = ({entries}: Pick<FleetView, 'entries'>): number => entries.size > 1 ? entries.size : DEFAULT_ENTRY_COUNT;

/** A send without data so far: when it was sent, and the tokens of its prompt. */
type PendingSend = {readonly sentAt: number; readonly promptTokens: number};

export class UpstreamState {
	ownRequests = 0;

	/** Sends that have had no data yet, in order. */
	readonly #pendingSends = new Map<symbol, PendingSend>();
	#reportedRequests: number | undefined;
	#reportedAt = Number.NEGATIVE_INFINITY;
	#ownSinceReport = 0;
	#agentReport: UpstreamReport | undefined;
	#agentReportAt = Number.NEGATIVE_INFINITY;
	#answeredVersion: number | undefined;
	#timeToFirstDataMs: number | undefined;
	#firstDataRecordedAt = Number.NEGATIVE_INFINITY;
	#health: Health = HEALTHY;

	constructor(public upstream: Upstream, readonly link: UpstreamLink) {}

	get health(): Health {
		return this.#health;
	}

	/** Notes a send. @returns its mark for {@link removePendingSend} */
	addPendingSend(now: number, promptTokens = 0): symbol {
		const mark = Symbol('send');
		this.#pendingSends.set(mark, {sentAt: now, promptTokens});
		return mark;
	}

	/** Notes that data arrived for a send, or that it is over. */
	removePendingSend(mark: symbol): void {
		this.#pendingSends.delete(mark);
	}

	/** Notes the time from a send to its first data. */
	recordTimeToFirstData(milliseconds: number, now: number): void {
		this.#timeToFirstDataMs = this.#timeToFirstDataMs === undefined ? milliseconds : this.#timeToFirstDataMs + ((milliseconds - this.#timeToFirstDataMs) * UPSTREAM_AVERAGE_WEIGHT);
		this.#firstDataRecordedAt = now;
	}

	beginRequest(now: number): void {
		this.ownRequests++;
		this.#ownSinceReport++;
		if (standing(this.#health, now) === 'trial') {
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

	view(now: number, isNear: boolean): UpstreamView {
		const {upstream} = this;
		const agent = now - this.#agentReportAt <= MAX_AGENT_REPORT_AGE_MS ? this.#agentReport : undefined;
		const state = standing(this.#health, now);
		const silent = [...this.#pendingSends.values()];
		const heldVersion = agent ? agent.version : upstream.model?.version;
		return {
			key: upstream.key,
			failureDomain: upstream.failureDomain,
			isNear,
			slots: Math.max(1, upstream.slots),
			isLeaving: upstream.state === 'draining',
			ownRequests: this.ownRequests,
			reportedRequests: this.#reportedRequests,
			reportAgeMs: now - this.#reportedAt,
			ownSinceReport: this.#ownSinceReport,
			pace: agent?.pace ?? 1,
			heldVersion: heldVersion === undefined ? undefined : Math.max(heldVersion, this.#answeredVersion ?? 0),
			isSwitching: agent?.isSwitching ?? false,
			startMs: now - this.#firstDataRecordedAt <= UPSTREAM_AVERAGE_LIFETIME_MS ? this.#timeToFirstDataMs : undefined,
			silentMs: silent.length === 0 ? 0 : now - silent[0].sentAt,
			unreadTokens: silent.reduce((sum, {promptTokens}) => sum + promptTokens, 0),
			isSuspended: state === 'suspended',
			isOnTrial: state === 'trial',
		};
	}
}

export type UpstreamStatesOptions = {
	readonly view: FleetView;

	/** Id of this entry. */
	readonly selfId: string;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Told when bytes follow a complete answer of an upstream. */
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

	/** What is known of the upstreams of a service, for a decision. */
	viewsOf(service: string, now: number): readonly UpstreamView[] {
		return this.of(service).map(state => state.view(now, this.#subset.has(state.upstream.id)));
	}

	/** Engines whose agents this entry listens to. */
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

	/** Takes the upstreams that are listed now. */
	refresh(): void {
		const listed = newestStarts(this.#options.view.upstreams);
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

	/** Takes the entries and upstreams that are listed now as those among which the near ones are chosen. */
	#refreshSubset(): void {
		const {view, selfId} = this.#options;
		const entryIds = [...view.entries.keys()];
		this.#subset = new Set([...this.#byService.values()].flatMap(states => [...nearUpstreams({
			selfId, entryIds, upstreamIds: states.map(({upstream}) => upstream.id),
		})]));
	}

	#connect(upstream: Upstream): UpstreamLink {
		const {address, service} = upstream;
		const {view, onExtraBytes: onExcess} = this.#options;
		const limit = view.inForce?.configuration.services.find(({name}) => name === service)?.maxConnections ?? MIN_CONNECTIONS;
		const connections = Math.max(MIN_CONNECTIONS, Math.floor(limit * CONNECTION_SHARE / assumedEntryCount(view)));
		return new UpstreamLink({
			address, connections,
			onExtraBytes(requestId) {
				onExcess?.(upstream, requestId);
			},
		});
	}
}
