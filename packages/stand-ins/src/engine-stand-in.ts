/** Model engine with continuous batching, a prefix cache, versions and faults. */
import {randomUUID} from 'node:crypto';
import {
	delay, readBody, seededRandom, SystemClock, type Clock, type Random, type Result,
} from '@yuccawood/common';
import {
	CACHE_EVENTS_PATH, COMPLETIONS_PATH, ENGINE_ACTIVATE_PATH, ENGINE_CHUNKS_PATH, ENGINE_LOAD_PATH, ENGINE_STATE_PATH, ENGINE_UNLOAD_PATH,
	REQUEST_ID_HEADER, type EngineState, type FailureBody, type LoadedVersion, type LoadOrder, type Order,
} from '@yuccawood/platform';
import {tokenSource} from './answer-text.js';
import {Batch} from './batch.js';
import {
	CompletionAnswer, parseCompletion, promptText, type Completion,
} from './completions.js';
import {EngineWeights} from './engine-weights.js';
import {PrefixCache, type CacheEvent} from './prefix-cache.js';
import {
	disconnected, fail, StandIn, succeed, type Call, type CommonFaults,
} from './stand-in.js';

export type EngineFaults = CommonFaults & {
	/** Multiplies all times of generation. */
	slowFactor: number;

	/** The next N completions are run, and their connections break before the last token. */
	loseAnswers: number;
};

export type EngineOptions = {
	readonly capacity?: number;
	readonly queueLimit?: number;
	readonly tokenIntervalMs?: number;

	/** Time for each block of 64 prompt characters that is not in the prefix cache. */
	readonly prefillBlockMs?: number;
	readonly loadMs?: number;
	readonly checksFencing?: boolean;
	readonly loadReportLagMs?: number;
	readonly cacheBlocks?: number;
	readonly cacheEventLagMs?: number;

	/** Share of cache events that are never published. */
	readonly cacheEventGapShare?: number;

	/** A request whose messages contain this text crashes the engine. */
	readonly crashMarker?: string;

	/** Time that the engine is down after a crash; its weights are lost. */
	readonly crashDownMs?: number;

	/** Runs instead of the simulated restart, for example to exit the process. */
	readonly onCrash?: () => void;

	/** Versions that are loaded without a rollout. */
	readonly versions?: readonly LoadedVersion[];

	readonly random?: Random;
	readonly clock?: Clock;
};

const BODY_LIMIT_BYTES = 256 * 1024 * 1024;
const CHARACTERS_PER_TOKEN = 4;
const CHARACTERS_PER_BLOCK = 64;

export class EngineStandIn extends StandIn<EngineFaults> {
	readonly #options: Required<Omit<EngineOptions, 'onCrash' | 'versions'>> & Pick<EngineOptions, 'onCrash'>;
	readonly #weights: EngineWeights;
	readonly #cache: PrefixCache;
	#batch: Batch;
	#incarnation: string = randomUUID();
	#reported = {running: 0, waiting: 0, at: Number.NEGATIVE_INFINITY};
	#latest = this.#reported;

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
		this.#cache = new PrefixCache({
			capacity: cacheBlocks, lagMs: cacheEventLagMs, gapShare: cacheEventGapShare, random, clock,
		});
		this.#batch = new Batch({capacity, queueLimit});
	}

	get versions(): readonly LoadedVersion[] {
		return this.#weights.versions;
	}

	/** Cache events after the sequence number; late and with gaps. */
	cacheEvents(after = 0): readonly CacheEvent[] {
		return this.#cache.eventsAfter(after);
	}

	protected override onDown(): void {
		const {capacity, queueLimit} = this.#options;
		this.#weights.clear();
		this.#cache.clear();
		this.#batch = new Batch({capacity, queueLimit});
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

			succeed(response);
			return;
		}

		switch (`${method} ${pathname}`) {
			case `GET ${ENGINE_STATE_PATH}`: {
				succeed(response, this.#state());
				return;
			}

			case `GET ${CACHE_EVENTS_PATH}`: {
				succeed(response, this.cacheEvents(Number(url.searchParams.get('after') ?? '0')));
				return;
			}

			case `POST ${ENGINE_LOAD_PATH}`: {
				await delay(this.#options.loadMs * this.faults.slowFactor);
				await this.#order<LoadOrder>('load', call, order => this.#weights.load(order).map(manifest => ({manifest})));
				return;
			}

			case `POST ${ENGINE_ACTIVATE_PATH}`: {
				await this.#order('activate', call, order => this.#weights.activate(order));
				return;
			}

			case `POST ${ENGINE_UNLOAD_PATH}`: {
				await this.#order('unload', call, order => this.#weights.unload(order));
				return;
			}

			case `POST ${COMPLETIONS_PATH}`: {
				await this.#complete(call);
				return;
			}

			default: {
				fail(response, {kind: 'not-found', detail: `No such path: ${pathname}.`, remedy: 'Use a path of the engine.'});
			}
		}
	}

	async #order<Body extends Order>(event: string, {request, response}: Call, apply: (order: Body) => Result<unknown, FailureBody>): Promise<void> {
		const order = JSON.parse(new TextDecoder().decode(await readBody(request, BODY_LIMIT_BYTES))) as Body;
		const refusal = this.#weights.refusal(order);
		const {fencingNumber, manifest} = order;
		const result = refusal ? undefined : apply(order);
		const failure = refusal ?? (result?.err ? result.val : undefined);
		this.record(event, {fencingNumber, manifest, refused: failure?.kind});
		if (failure) {
			fail(response, failure);
			return;
		}

		succeed(response, result?.val);
	}

	/** The load is a snapshot that is renewed at most once in each lag period. */
	#state(): EngineState {
		const now = this.#options.clock.monotonic();
		if (now - this.#latest.at >= this.#options.loadReportLagMs) {
			this.#reported = this.#latest;
			this.#latest = {...this.#batch.load, at: now};
		}

		const {running, waiting} = this.#options.loadReportLagMs === 0 ? this.#batch.load : this.#reported;
		return {
			incarnation: this.#incarnation, versions: this.#weights.versions, running, waiting, capacity: this.#options.capacity,
		};
	}

	async #complete(call: Call): Promise<void> {
		const {request, response} = call;
		const requestId = String(request.headers[REQUEST_ID_HEADER] ?? '');
		const parsed = parseCompletion(await readBody(request, BODY_LIMIT_BYTES));
		if (parsed.err) {
			this.record('refused', {requestId, reason: 'invalid'});
			fail(response, parsed.val);
			return;
		}

		const completion = parsed.val;
		const active = this.#weights.versions.find(({name, active}) => active && name === completion.model);
		if (!active) {
			this.record('refused', {requestId, reason: 'not-active'});
			fail(response, {kind: 'not-found', detail: `The model ${completion.model} is not active.`, remedy: 'Load and activate a version of it.'});
			return;
		}

		const batch = this.#batch;
		if (batch.isFull) {
			this.record('refused', {requestId, reason: 'full'});
			response.setHeader('retry-after', '1');
			fail(response, {kind: 'unavailable', detail: 'The queue is full.', remedy: 'Repeat the request later.'});
			return;
		}

		const gone = disconnected(response);
		if (!await batch.enter(completion.priority, gone)) {
			this.record('cancelled', {requestId, tokens: 0});
			return;
		}

		try {
			await this.#generate(call, completion, {requestId, manifest: active.manifest, gone});
		} finally {
			batch.leave();
		}
	}

	async #generate({response}: Call, completion: Completion, {requestId, manifest, gone}: {
		readonly requestId: string;
		readonly manifest: string;
		readonly gone: AbortSignal;
	}): Promise<void> {
		const prompt = promptText(completion.messages);
		const {blocks, hits} = this.#cache.use(manifest, prompt);
		this.count('completion');
		this.count('cache-blocks', blocks);
		this.count('cache-hits', hits);
		this.record('run', {
			requestId, model: completion.model, manifest, blocks, hits,
		});
		if (prompt.includes(this.#options.crashMarker)) {
			this.#crash(requestId);
			return;
		}

		const isLost = this.faults.loseAnswers > 0;
		this.faults.loseAnswers -= isLost ? 1 : 0;
		await this.#pause(this.#options.prefillBlockMs * (blocks - hits), gone);
		const answer = new CompletionAnswer({
			response, completion, requestId, manifest,
		});
		const token = tokenSource({manifest, model: completion.model, messages: completion.messages});
		answer.begin();
		const count = isLost ? completion.maxTokens - 1 : completion.maxTokens;
		for (let index = 0; index < count && !gone.aborted; index++) {
			await this.#pause(this.#options.tokenIntervalMs, gone);
			answer.token(token(index));
		}

		if (gone.aborted || isLost) {
			this.record(isLost ? 'answer-lost' : 'cancelled', {requestId});
			response.destroy();
			return;
		}

		answer.end(completion.maxTokens, {promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN), cachedTokens: hits * CHARACTERS_PER_BLOCK / CHARACTERS_PER_TOKEN});
		this.record('answered', {requestId, manifest, tokens: completion.maxTokens});
	}

	async #pause(milliseconds: number, gone: AbortSignal): Promise<void> {
		const duration = milliseconds * this.faults.slowFactor;
		if (duration > 0) {
			await delay(duration, gone);
		}
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
