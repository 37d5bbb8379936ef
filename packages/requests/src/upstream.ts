/** The agent's access to its upstream: connections, requests in progress, and detection of deaths and of connections without data. */
import {
	withTimeout, type Clock, type Log, type Metrics,
} from '@yuccawood/common';
import {HttpModelEngine, type EngineState, type ModelEngine} from '@yuccawood/interfaces';
import {ConnectionPools} from './connection-pools.js';
import {MAX_UNANSWERED_STATE_QUERIES, QUERY_TIMEOUT_MS, NO_PROGRESS_TIMEOUT_MS} from './constants.js';
import type {VersionCheck} from './engine-response.js';
import type {ForwardedHead} from './forwarded-head.js';
import type {RequestRecords} from './request-records.js';
import {Supervisor} from './supervisor.js';
import {UpstreamMonitor} from './upstream-monitor.js';
import type {
	Job, RunResult, RunEnvironment, SilenceAction,
} from './run-types.js';
import {UpstreamRun} from './upstream-run.js';

export type UpstreamOptions = {
	readonly selfId: string;
	readonly incarnation: number;

	/** `IP:port`. */
	readonly address: string;
	readonly kind: 'engine' | 'service';
	readonly isVerified: VersionCheck;

	/** Reports how many requests the engine has. Without this key the engine at `address` is queried; an explicit `undefined` disables these queries. */
	readonly engine?: Pick<ModelEngine, 'state'>;
	readonly records: RequestRecords;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Called with the time to the first byte of an answer. */
	readonly onFirstByteLatency: (milliseconds: number) => void;

	/** Called with the size of each part of an answer. */
	readonly onTransferredBytes: (bytes: number) => void;
};

/** `startedAt` is the monotonic time in milliseconds. */
type RunningRequest = {readonly head: ForwardedHead; readonly startedAt: number};

/** Runs requests at the upstream and checks their progress. */
export class Upstream {
	readonly #options: UpstreamOptions;
	readonly #pools = new ConnectionPools();
	readonly #supervisor: Supervisor;
	readonly #monitor: UpstreamMonitor;
	/** The engine client created here, which `close` closes. */
	readonly #ownedEngineClient: HttpModelEngine | undefined;
	readonly #engine: Pick<ModelEngine, 'state'> | undefined;
	/** Requests in progress by request id. */
	readonly #running = new Map<string, RunningRequest>();
	readonly #environment: RunEnvironment;

	/** Running requests to which a death is attributed. */
	#runningSuspects = 0;

	/** Consecutive queries of the engine's state without a reply. */
	#unansweredStateQueries = 0;

	constructor(options: UpstreamOptions) {
		this.#options = options;
		const {
			clock, log, address, selfId, incarnation, metrics, kind,
		} = options;
		this.#ownedEngineClient = kind === 'engine' && !('engine' in options) ? new HttpModelEngine({address}) : undefined;
		this.#engine = options.engine ?? this.#ownedEngineClient;
		this.#supervisor = new Supervisor({clock, log});
		this.#monitor = new UpstreamMonitor({
			address, selfId, incarnation, clock, log, metrics,
			running: () => [...this.#running.values()].map(({head}) => head.fingerprint),
			upstreamIncarnation: async () => {
				const state = await this.#fetchEngineState();
				return state?.incarnation;
			},
		});
		this.#environment = {
			kind, records: options.records, isVerified: options.isVerified, now: clock.monotonic, onResponseHead: options.onFirstByteLatency, onBytes: options.onTransferredBytes,
			diagnoseSilence: async (head, hasHead) => this.#diagnoseSilence(head, hasHead),
			replaceConnections: () => this.#replaceConnections(),
		};
		this.#supervisor.start();
		void this.#monitor.start();
	}

	/** Whether the upstream accepts no connections. */
	get isDown(): boolean {
		return this.#monitor.isDown;
	}

	/** Whether a request is running to which an earlier death is attributed. */
	get runsSuspect(): boolean {
		return this.#runningSuspects > 0;
	}

	/** Resolves when no broken connection is being inspected, so that the records name the death that ended their requests. */
	async waitForInspection(): Promise<void> {
		await this.#monitor.waitForInspection();
	}

	/** Runs one request. Resolves when its answer was passed on or kept, or when it failed or was cancelled. */
	async run(job: Job): Promise<RunResult> {
		const {head, record} = job;
		const singleUse = head.repeatable ? undefined : this.#pools.createSingleUse(this.#options.address);
		const run = new UpstreamRun({job, environment: this.#environment, dispatcher: singleUse ?? this.#pools.get(this.#options.address)});
		this.#running.set(head.requestId, {head, startedAt: this.#options.clock.monotonic()});
		this.#runningSuspects += head.suspect ? 1 : 0;
		this.#supervisor.add(run);
		try {
			const result = await run.run();
			if (result.kind === 'failed' && result.isConnectionBroken) {
				record.death = await this.#monitor.inspect();
			}

			return result;
		} finally {
			this.#supervisor.remove(run);
			this.#running.delete(head.requestId);
			this.#runningSuspects -= head.suspect ? 1 : 0;
			void singleUse?.close();
		}
	}

	async close(): Promise<void> {
		this.#supervisor.close();
		this.#monitor.close();
		await this.#pools.close();
		await this.#ownedEngineClient?.close();
	}

	/**
	Decides what to do about a request whose connection carries no data.

	An engine reports how many requests it has. If it has fewer than this agent is waiting for, some connections lost their data; otherwise the engine is slow.
	A plain service cannot be asked, so a repeatable call without response headers is also sent over a new connection, and the first response is used.
	*/
	async #diagnoseSilence({repeatable}: ForwardedHead, hasHead: boolean): Promise<SilenceAction> {
		const {kind} = this.#options;
		if (kind === 'service' || !this.#engine) {
			return kind === 'service' && repeatable && !hasHead ? 'hedge' : 'wait';
		}

		const state = await this.#fetchEngineState();
		if (!state) {
			this.#unansweredStateQueries++;
			return this.#unansweredStateQueries >= MAX_UNANSWERED_STATE_QUERIES ? 'fail' : 'wait';
		}

		this.#unansweredStateQueries = 0;
		if (state.running + state.waiting >= this.#countLongRunning()) {
			return 'wait';
		}

		return hasHead ? 'fail' : 'hedge';
	}

	/** Requests that have run for `NO_PROGRESS_TIMEOUT_MS` or longer. The state that the engine reports lags, so younger ones may be missing from it. */
	#countLongRunning(): number {
		const startedBefore = this.#options.clock.monotonic() - NO_PROGRESS_TIMEOUT_MS;
		return [...this.#running.values()].filter(({startedAt}) => startedAt <= startedBefore).length;
	}

	/** @returns `undefined` when there is no engine to ask or it does not reply in time. */
	async #fetchEngineState(): Promise<EngineState | undefined> {
		if (!this.#engine) {
			return undefined;
		}

		try {
			const state = await withTimeout(this.#engine.state(), QUERY_TIMEOUT_MS, 'State of the engine');
			return state.ok ? state.val : undefined;
		} catch {
			return undefined;
		}
	}

	#replaceConnections(): ReturnType<ConnectionPools['get']> {
		const {address, metrics, log} = this.#options;
		this.#pools.replace(address);
		metrics.count('requests.paths_replaced', {cause: 'upstream-silent'});
		log.warn('Replaced the connections to the upstream.');
		return this.#pools.get(address);
	}
}
