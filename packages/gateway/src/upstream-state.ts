/** Load and health of one upstream, as this entry observes them. Performs no I/O. */
import {
	afterFailure, afterSuccess, afterTrialStart, afterTrialWithoutVerdict, ColdShare, HEALTHY, healthStatus, SendsUnderWay, type ColdLimit, type UpstreamHealth, type UpstreamView,
} from '@yuccawood/dispatch';
import type {Upstream, UpstreamReport} from '@yuccawood/fleet';
import {MomentaryPace} from './momentary-pace.js';
import type {UpstreamSigns} from './upstream-signs.js';
import {UpstreamAnnouncement} from './upstream-announcement.js';
import type {ReportedLoad} from './types.js';
import {UPSTREAM_AVERAGE_LIFETIME_MS, UPSTREAM_AVERAGE_WEIGHT} from './constants.js';

/** Age up to which an agent's report of version and switching takes precedence over the platform's list of upstreams. */
const MAX_AGENT_REPORT_AGE_MS = 2500;

/** A request that was sent and has received no data yet. `sentAt` is a monotonic time in milliseconds. */
type PendingSend = {readonly sentAt: number; readonly promptTokens: number};

export class UpstreamState {
	/** Requests of this entry that the upstream has now. */
	ownRequests = 0;

	/** What was written for the upstream and may not have arrived there. */
	readonly underWay = new SendsUnderWay();

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
	#lastDataAt: number | undefined;

	/** Sends that have no result yet, oldest first, with their times. */
	readonly #openSends = new Map<symbol, number>();

	readonly #cold = new ColdShare();
	readonly #momentaryPace = new MomentaryPace();
	#appliedListing: Upstream | undefined;

	constructor(public upstream: Upstream, readonly announcement = new UpstreamAnnouncement(), readonly isEvacuated: () => boolean = () => false) {}

	/** Applies what the platform's list says of the upstream. Applying the same listing again changes nothing. */
	applyListing(listed: Upstream, now: number): void {
		if (listed !== this.#appliedListing && listed.coldForMs) {
			this.recordCold(now + listed.coldForMs);
		}

		this.#appliedListing = listed;
		this.upstream = listed;
	}

	/** Records that the upstream is cold until a monotonic time in milliseconds. */
	recordCold(until: number): void {
		this.#cold.recordCold(until);
	}

	get health(): UpstreamHealth {
		return this.#health;
	}

	/** Records that a request is being sent. @returns its key for {@link endSend} */
	beginSend(now: number): symbol {
		const key = Symbol('open');
		this.#openSends.set(key, now);
		return key;
	}

	/** Called when the answer to a request is complete or has failed. */
	endSend(key: symbol): void {
		this.#openSends.delete(key);
	}

	/** Records that a part of an answer arrived. */
	recordData(now: number): void {
		this.#lastDataAt = now;
	}

	/** Signs by which a crash is told from connections that break for another reason. */
	get signs(): UpstreamSigns {
		return {lastDataAt: this.#lastDataAt, oldestSendAt: this.#openSends.values().next().value};
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
		this.underWay.plan();
		this.ownRequests++;
		this.#ownSinceReport++;
		this.#cold.recordSend(now);
		if (healthStatus(this.#health, now) === 'trial') {
			this.#health = afterTrialStart(this.#health);
		}
	}

	/** @param wasWritten whether the request, or a part of it, was written for the upstream */
	endRequest({wasWritten = true}: {readonly wasWritten?: boolean} = {}): void {
		if (!wasWritten) {
			this.underWay.dropPlan();
		}

		this.ownRequests--;
		this.#ownSinceReport--;
	}

	updateLoad({running, waiting, pace}: Pick<ReportedLoad, 'running' | 'waiting' | 'pace'>, now: number): void {
		if (pace !== undefined) {
			this.#momentaryPace.record(pace, now);
		}

		this.#reportedRequests = running + waiting;
		this.#reportedAt = now;
		this.#ownSinceReport = 0;
	}

	updateVersion(version: number): void {
		this.#answeredVersion = Math.max(version, this.#answeredVersion ?? 0);
	}

	applyAgentReport(report: UpstreamReport, now: number): void {
		this.#agentReport = report;
		this.#agentReportAt = now;
		this.updateLoad({running: report.running, waiting: report.waiting}, now);
	}

	recordSuccess(): void {
		this.#health = afterSuccess(this.#health);
	}

	/** Records that a request ended without showing whether the upstream is sound. */
	recordNoVerdict(): void {
		this.#health = afterTrialWithoutVerdict(this.#health);
	}

	/** @returns whether the upstream was suspended by this failure */
	recordFailure(now: number, isFatal: boolean): boolean {
		const before = this.#health;
		this.#health = afterFailure(before, now, {isFatal});
		return this.#health.suspendedUntil > now && before.suspendedUntil <= now;
	}

	/** Whether the upstream may get no more requests, because it is about to end or its failure domain is evacuated. */
	get isLeaving(): boolean {
		return this.upstream.state === 'draining' || this.announcement.isLeaving || this.isEvacuated();
	}

	/** Version that the upstream holds, as far as this entry knows. */
	heldVersion(now: number): number | undefined {
		const agent = this.#currentAgentReport(now);
		const version = agent ? agent.version : this.upstream.model?.version;
		return version === undefined ? undefined : Math.max(version, this.#answeredVersion ?? 0);
	}

	view(now: number, {isInSubset, maxConnections, sharingEntries, coldLimit}: Pick<UpstreamView, 'isInSubset' | 'maxConnections' | 'sharingEntries'> & {readonly coldLimit?: ColdLimit}): UpstreamView {
		const {upstream} = this;
		const agent = this.#currentAgentReport(now);
		const status = healthStatus(this.#health, now);
		const pending = [...this.#pendingSends.values()];
		return {
			key: upstream.key,
			failureDomain: upstream.failureDomain,
			isInSubset,
			slots: Math.max(1, upstream.slots),
			refusesForMs: Math.max(this.announcement.refusesForMs(now), coldLimit ? this.#cold.msUntilSend(now, coldLimit) : 0),
			isLeaving: this.isLeaving,
			ownRequests: this.ownRequests,
			maxConnections,
			sharingEntries,
			reportedRequests: this.#reportedRequests,
			reportAgeMs: now - this.#reportedAt,
			ownSinceReport: this.#ownSinceReport,
			pace: Math.max(agent?.pace ?? 1, this.#momentaryPace.at(now)),
			heldVersion: this.heldVersion(now),
			isSwitching: agent?.isSwitching ?? false,
			startMs: now - this.#firstDataRecordedAt <= UPSTREAM_AVERAGE_LIFETIME_MS ? this.#timeToFirstDataMs : undefined,
			unansweredMs: pending.length === 0 ? 0 : now - pending[0].sentAt,
			unreadTokens: pending.reduce((sum, {promptTokens}) => sum + promptTokens, 0),
			underWay: this.underWay.at(now),
			isSuspended: status === 'suspended',
			isDueForTrial: status === 'trial',
		};
	}

	#currentAgentReport(now: number): UpstreamReport | undefined {
		return now - this.#agentReportAt <= MAX_AGENT_REPORT_AGE_MS ? this.#agentReport : undefined;
	}
}
