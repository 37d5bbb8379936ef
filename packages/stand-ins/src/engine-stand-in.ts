/** Stand-in for a model engine, with continuous batching, a prefix cache, several loaded versions and injectable faults. */
import {randomUUID} from 'node:crypto';
import {
	delay, readBody, seededRandom, SystemClock, type Clock, type Random, type Result,
} from '@yuccawood/common';
import {
	CACHE_EVENTS_PATH, COMPLETIONS_PATH, ENGINE_ACTIVATE_PATH, ENGINE_CHUNKS_PATH, ENGINE_LOAD_PATH, ENGINE_STATE_PATH, ENGINE_UNLOAD_PATH,
	type EngineState, type FailureBody, type LoadedVersion, type LoadOrder, type Order,
} from '@yuccawood/interfaces';
import {EngineWeights} from './engine-weights.js';
import {Generation} from './generation.js';
import type {CacheEvent} from './prefix-cache.js';
import {
	sendFailure, StandIn, sendSuccess, type Call, type CommonFaults,
} from './stand-in.js';

export type EngineFaults = CommonFaults & {
	/** Factor on the times for loading weights, prefill and generating tokens. */
	slowFactor: number;

	/** Number of next completions that run, but whose connection is closed before the last token. */
	loseAnswers: number;
};

export type EngineOptions = {
	/** Number of requests that run at the same time. */
	readonly capacity?: number;

	/** Number of requests that may wait for a slot in the batch. */
	readonly queueLimit?: number;

	/** Time to generate one token. */
	readonly tokenIntervalMs?: number;

	/** Prefill time for each block of 64 prompt characters that is not in the prefix cache. */
	readonly prefillBlockMs?: number;
	/** Time to assemble a version from its chunks. */
	readonly loadMs?: number;

	/** Whether orders with a stale fencing number are refused. */
	readonly checksFencing?: boolean;

	/** Minimum time between two snapshots of the reported load; with 0 the current load is reported. */
	readonly loadReportLagMs?: number;

	/** Capacity of the prefix cache, in blocks of 64 characters. */
	readonly cacheBlocks?: number;

	/** Time until a cache event is published. */
	readonly cacheEventLagMs?: number;

	/** Share of cache events that are never published, from 0 to 1. */
	readonly cacheEventGapShare?: number;

	/** A request whose messages contain this text crashes the engine. */
	readonly crashMarker?: string;

	/** Time that the engine is down after a crash, which also loses its weights. */
	readonly crashDownMs?: number;

	/** Called on a crash instead of the simulated restart, for example to exit the process. */
	readonly onCrash?: () => void;

	/** Versions that are loaded from the start, without a rollout. */
	readonly versions?: readonly LoadedVersion[];

	readonly random?: Random;
	readonly clock?: Clock;
};

const BODY_LIMIT_BYTES = 256 * 1024 * 1024;

export class EngineStandIn extends StandIn<EngineFaults> {
	readonly #options: Required<Omit<EngineOptions, 'onCrash' | 'versions'>> & Pick<EngineOptions, 'onCrash'>;
	readonly #weights: EngineWeights;
	readonly #generation: Generation;
	#incarnation: string = randomUUID();
	#reportedLoad = {running: 0, waiting: 0, at: Number.NEGATIVE_INFINITY};
	#latestLoad = this.#reportedLoad;

	constructor({
		capacity = 16, queueLimit = 32, tokenIntervalMs = 5, prefillBlockMs = 0, loadMs = 0, checksFencing = true, loadReportLagMs = 100,
		cacheBlocks = 4096, cacheEventLagMs = 200, cacheEventGapShare = 0.05, crashMarker = '[crash the engine]', crashDownMs = 500,
		onCrash, versions = [], random = seededRandom('engine'), clock = new SystemClock(),
	}: EngineOptions = {}) {
		super({
			downMs: 0, breakConnections: false, slowFactor: 1, loseAnswers: 0,
		});
		this.#options = {
			capacity, queueLimit, tokenIntervalMs, prefillBlockMs, loadMs, checksFencing, loadReportLagMs,
			cacheBlocks, cacheEventLagMs, cacheEventGapShare, crashMarker, crashDownMs, onCrash, random, clock,
		};
		this.#weights = new EngineWeights({checksFencing});
		this.#weights.preset(versions);
		this.#generation = new Generation({
			...this.#options,
			versions: () => this.#weights.versions,
			slowFactor: () => this.faults.slowFactor,
			takeAnswerLoss: () => this.#takeAnswerLoss(),
			crash: requestId => {
				this.#crash(requestId);
			},
			record: (event, fields) => {
				this.record(event, fields);
			},
			count: (name, amount) => {
				this.count(name, amount);
			},
		});
	}

	get versions(): readonly LoadedVersion[] {
		return this.#weights.versions;
	}

	/** Published cache events with a sequence number above `after`. Some events are missing; see `cacheEventGapShare`. */
	cacheEvents(after = 0): readonly CacheEvent[] {
		return this.#generation.cacheEvents(after);
	}

	protected override onDown(): void {
		this.#weights.clear();
		this.#generation.reset();
		this.#incarnation = randomUUID();
	}

	protected override async handle(call: Call): Promise<void> {
		const {request, response, url, method} = call;
		const {pathname} = url;
		if (method === 'PUT' && pathname.startsWith(`${ENGINE_CHUNKS_PATH}/`)) {
			const hash = pathname.slice(ENGINE_CHUNKS_PATH.length + 1);
			const isIntact = this.#weights.putChunk(hash, await readBody(request, BODY_LIMIT_BYTES));
			this.count('chunk');
			if (!isIntact) {
				this.record('chunk-mismatch', {hash});
			}

			sendSuccess(response);
			return;
		}

		switch (`${method} ${pathname}`) {
			case `GET ${ENGINE_STATE_PATH}`: {
				sendSuccess(response, this.#stateReport());
				return;
			}

			case `GET ${CACHE_EVENTS_PATH}`: {
				sendSuccess(response, this.cacheEvents(Number(url.searchParams.get('after') ?? '0')));
				return;
			}

			case `POST ${ENGINE_LOAD_PATH}`: {
				await delay(this.#options.loadMs * this.faults.slowFactor);
				await this.#applyOrder<LoadOrder>('load', call, order => this.#weights.load(order).map(manifest => ({manifest})));
				return;
			}

			case `POST ${ENGINE_ACTIVATE_PATH}`: {
				await this.#applyOrder('activate', call, order => this.#weights.activate(order));
				return;
			}

			case `POST ${ENGINE_UNLOAD_PATH}`: {
				await this.#applyOrder('unload', call, order => this.#weights.unload(order));
				return;
			}

			case `POST ${COMPLETIONS_PATH}`: {
				await this.#generation.complete(call);
				return;
			}

			default: {
				sendFailure(response, {kind: 'not-found', detail: `No such path: ${pathname}.`, remedy: 'Use a path of the engine.'});
			}
		}
	}

	async #applyOrder<Body extends Order>(event: string, {request, response}: Call, apply: (order: Body) => Result<unknown, FailureBody>): Promise<void> {
		const order = JSON.parse(new TextDecoder().decode(await readBody(request, BODY_LIMIT_BYTES))) as Body;
		const refusal = this.#weights.checkFencing(order);
		const {fencingNumber, manifest} = order;
		const result = refusal ? undefined : apply(order);
		const failure = refusal ?? (result?.err ? result.val : undefined);
		this.record(event, {fencingNumber, manifest, refused: failure?.kind});
		if (failure) {
			sendFailure(response, failure);
			return;
		}

		sendSuccess(response, result?.val);
	}

	/** The load in the report is stale on purpose: it is the snapshot before the latest one, and a snapshot is taken at most once in `loadReportLagMs`. */
	#stateReport(): EngineState {
		const now = this.#options.clock.monotonic();
		if (now - this.#latestLoad.at >= this.#options.loadReportLagMs) {
			this.#reportedLoad = this.#latestLoad;
			this.#latestLoad = {...this.#generation.load, at: now};
		}

		const {running, waiting} = this.#options.loadReportLagMs === 0 ? this.#generation.load : this.#reportedLoad;
		return {
			incarnation: this.#incarnation, versions: this.#weights.versions, running, waiting, capacity: this.#options.capacity,
		};
	}

	#takeAnswerLoss(): boolean {
		const isLost = this.faults.loseAnswers > 0;
		this.faults.loseAnswers -= isLost ? 1 : 0;
		return isLost;
	}

	#crash(requestId: string): void {
		this.record('crashed', {requestId});
		if (this.#options.onCrash) {
			this.#options.onCrash();
			return;
		}

		void this.goDown(this.#options.crashDownMs);
	}
}
