/** State of each upstream that this entry uses: load, health, connections. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import {
	afterFailure, afterSuccess, afterTrialStart, HEALTHY, nearUpstreams, standing, type Health, type UpstreamView,
} from '@yuccawood/dispatch';
import {
	newestStarts, type FleetView, type Upstream, type UpstreamReport,
} from '@yuccawood/fleet';
import {
	ASSUMED_ENTRIES, CONNECTION_SHARE, MIN_CONNECTIONS, START_LIFE_MS, START_WEIGHT,
} from './constants.js';
import {UpstreamLink} from './upstream-link.js';

/** Age up to which an agent's report of version and switching goes before the platform's list. */
const AGENT_REPORT_LIFE_MS = 2500;

/** Entries that share the limits of upstreams and services. One that lists nobody else does not know the others yet. */
export const sharingEntries = ({entries}: Pick<FleetView, 'entries'>): number => entries.size > 1 ? entries.size : ASSUMED_ENTRIES;

/** A send without data so far: when it was sent, and the tokens of its prompt. */
type SilentSend = {readonly sentAt: number; readonly promptTokens: number};

export class UpstreamState {
	ownRequests = 0;

	/** Sends that have had no data yet, in order. */
	readonly #silentSends = new Map<symbol, SilentSend>();
	#reported: number | undefined;
	#reportedAt = Number.NEGATIVE_INFINITY;
	#ownSinceReport = 0;
	#agentReport: UpstreamReport | undefined;
	#agentReportAt = Number.NEGATIVE_INFINITY;
	#answeredVersion: number | undefined;
	#startMs: number | undefined;
	#startAt = Number.NEGATIVE_INFINITY;
	#health: Health = HEALTHY;

	constructor(public upstream: Upstream, readonly link: UpstreamLink) {}

	get health(): Health {
		return this.#health;
	}

	/** Notes a send. @returns its mark for {@link noteData} */
	markSent(now: number, promptTokens = 0): symbol {
		const mark = Symbol('send');
		this.#silentSends.set(mark, {sentAt: now, promptTokens});
		return mark;
	}

	/** Notes that data arrived for a send, or that it is over. */
	noteData(mark: symbol): void {
		this.#silentSends.delete(mark);
	}

	/** Notes the time from a send to its first data. */
	noteStarted(milliseconds: number, now: number): void {
		this.#startMs = this.#startMs === undefined ? milliseconds : this.#startMs + ((milliseconds - this.#startMs) * START_WEIGHT);
		this.#startAt = now;
	}

	begin(now: number): void {
		this.ownRequests++;
		this.#ownSinceReport++;
		if (standing(this.#health, now) === 'trial') {
			this.#health = afterTrialStart(this.#health);
		}
	}

	end(): void {
		this.ownRequests--;
		this.#ownSinceReport--;
	}

	takeLoad(requests: number, now: number): void {
		this.#reported = requests;
		this.#reportedAt = now;
		this.#ownSinceReport = 0;
	}

	takeVersion(version: number): void {
		this.#answeredVersion = Math.max(version, this.#answeredVersion ?? 0);
	}

	takeAgentReport(report: UpstreamReport, now: number): void {
		this.#agentReport = report;
		this.#agentReportAt = now;
		this.takeLoad(report.running + report.waiting, now);
	}

	succeeded(): void {
		this.#health = afterSuccess(this.#health);
	}

	/** @returns whether the upstream was suspended by this failure */
	failed(now: number, isFatal: boolean): boolean {
		const before = this.#health;
		this.#health = afterFailure(before, now, {isFatal});
		return this.#health.suspendedUntil > now && before.suspendedUntil <= now;
	}

	view(now: number, isNear: boolean): UpstreamView {
		const {upstream} = this;
		const agent = now - this.#agentReportAt <= AGENT_REPORT_LIFE_MS ? this.#agentReport : undefined;
		const state = standing(this.#health, now);
		const silent = [...this.#silentSends.values()];
		const heldVersion = agent ? agent.version : upstream.model?.version;
		return {
			key: upstream.key,
			failureDomain: upstream.failureDomain,
			isNear,
			slots: Math.max(1, upstream.slots),
			isLeaving: upstream.state === 'draining',
			ownRequests: this.ownRequests,
			reportedRequests: this.#reported,
			reportAgeMs: now - this.#reportedAt,
			ownSinceReport: this.#ownSinceReport,
			pace: agent?.pace ?? 1,
			heldVersion: heldVersion === undefined ? undefined : Math.max(heldVersion, this.#answeredVersion ?? 0),
			isSwitching: agent?.isSwitching ?? false,
			startMs: now - this.#startAt <= START_LIFE_MS ? this.#startMs : undefined,
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
	readonly onExcess?: (upstream: Upstream, requestId: string) => void;
};

export class UpstreamStates {
	readonly #options: UpstreamStatesOptions;
	readonly #states = new Map<string, UpstreamState>();
	readonly #byService = new Map<string, UpstreamState[]>();
	readonly #byAddress = new Map<string, UpstreamState>();
	#near: ReadonlySet<string> = new Set();

	constructor(options: UpstreamStatesOptions) {
		this.#options = options;
	}

	of(service: string): readonly UpstreamState[] {
		return this.#byService.get(service) ?? [];
	}

	/** What is known of the upstreams of a service, for a decision. */
	viewsOf(service: string, now: number): readonly UpstreamView[] {
		return this.of(service).map(state => state.view(now, this.#near.has(state.upstream.id)));
	}

	/** Engines whose agents this entry listens to. */
	get nearEngines(): readonly Upstream[] {
		const engines = new Set(this.#options.view.inForce?.configuration.services.filter(({engine}) => engine).map(({name}) => name));
		return [...this.#states.values()].map(({upstream}) => upstream).filter(({id, service}) => engines.has(service) && this.#near.has(id));
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

		this.#chooseNear();
	}

	close(): void {
		for (const {link} of this.#states.values()) {
			link.close();
		}
	}

	/** Takes the entries and upstreams that are listed now as those among which the near ones are chosen. */
	#chooseNear(): void {
		const {view, selfId} = this.#options;
		const entryIds = [...view.entries.keys()];
		this.#near = new Set([...this.#byService.values()].flatMap(states => [...nearUpstreams({
			selfId, entryIds, upstreamIds: states.map(({upstream}) => upstream.id),
		})]));
	}

	#connect(upstream: Upstream): UpstreamLink {
		const {address, service} = upstream;
		const {view, onExcess} = this.#options;
		const limit = view.inForce?.configuration.services.find(({name}) => name === service)?.maxConnections ?? MIN_CONNECTIONS;
		const connections = Math.max(MIN_CONNECTIONS, Math.floor(limit * CONNECTION_SHARE / sharingEntries(view)));
		return new UpstreamLink({
			address, connections,
			onExcess(requestId) {
				onExcess?.(upstream, requestId);
			},
		});
	}
}
