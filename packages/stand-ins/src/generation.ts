/** Runs chat completions of the engine stand-in: batch slots, prefix cache, token generation, cancellation and lost answers. */
import {
	delay, readBody, type Clock, type Random,
} from '@yuccawood/common';
import {REQUEST_ID_HEADER, type LoadedVersion} from '@yuccawood/interfaces';
import {messagesHash, tokenSource} from './answer-text.js';
import {Batch} from './batch.js';
import {
	CompletionAnswer, parseCompletion, promptText, type Completion,
} from './completions.js';
import {PrefixCache, type CacheEvent} from './prefix-cache.js';
import {disconnectSignal, sendFailure, type Call} from './stand-in.js';

export type GenerationOptions = {
	readonly capacity: number;
	readonly queueLimit: number;
	readonly tokenIntervalMs: number;
	readonly prefillBlockMs: number;
	readonly cacheBlocks: number;
	readonly cacheEventLagMs: number;
	readonly cacheEventGapShare: number;
	readonly crashMarker: string;
	readonly random: Random;
	readonly clock: Clock;
	readonly versions: () => readonly LoadedVersion[];
	readonly slowFactor: () => number;

	/** Called once for each request that runs. @returns whether its connection is to be closed before the last token. */
	readonly takeAnswerLoss: () => boolean;
	readonly crash: (requestId: string) => void;
	readonly record: (event: string, fields: Readonly<Record<string, unknown>>) => void;
	readonly count: (name: string, amount?: number) => void;
};

const BODY_LIMIT_BYTES = 64 * 1024 * 1024;
const CHARACTERS_PER_TOKEN = 4;
const BLOCK_CHARACTERS = 64;

export class Generation {
	readonly #options: GenerationOptions;
	readonly #cache: PrefixCache;
	#batch: Batch;

	constructor(options: GenerationOptions) {
		this.#options = options;
		const {cacheBlocks, cacheEventLagMs, cacheEventGapShare, random, clock} = options;
		this.#cache = new PrefixCache({
			capacity: cacheBlocks, lagMs: cacheEventLagMs, gapShare: cacheEventGapShare, random, clock,
		});
		this.#batch = new Batch(options);
	}

	get load(): {readonly running: number; readonly waiting: number} {
		return this.#batch.load;
	}

	cacheEvents(after: number): readonly CacheEvent[] {
		return this.#cache.eventsAfter(after);
	}

	/** Empties the cache and the batch, as a restart does. */
	reset(): void {
		this.#cache.clear();
		this.#batch = new Batch(this.#options);
	}

	async complete(call: Call): Promise<void> {
		const {request, response} = call;
		const requestId = String(request.headers[REQUEST_ID_HEADER] ?? '');
		const parsed = parseCompletion(await readBody(request, BODY_LIMIT_BYTES));
		if (parsed.err) {
			this.#options.record('refused', {requestId, reason: 'invalid'});
			sendFailure(response, parsed.val);
			return;
		}

		const completion = parsed.val;
		const active = this.#options.versions().find(({name, active}) => active && name === completion.model);
		if (!active) {
			this.#options.record('refused', {requestId, reason: 'not-active'});
			sendFailure(response, {kind: 'not-found', detail: `The model ${completion.model} is not active.`, remedy: 'Load and activate a version of it.'});
			return;
		}

		const batch = this.#batch;
		if (batch.isFull) {
			this.#options.record('refused', {requestId, reason: 'full'});
			response.setHeader('retry-after', '1');
			sendFailure(response, {kind: 'unavailable', detail: 'The queue is full.', remedy: 'Repeat the request later.'});
			return;
		}

		const disconnected = disconnectSignal(response);
		if (!await batch.acquireSlot(completion.priority, disconnected)) {
			this.#options.record('cancelled', {requestId, tokens: 0});
			return;
		}

		try {
			await this.#generate(call, completion, {requestId, manifest: active.manifest, disconnected});
		} finally {
			batch.releaseSlot();
		}
	}

	async #generate({response}: Call, completion: Completion, {requestId, manifest, disconnected}: {
		readonly requestId: string;
		readonly manifest: string;
		readonly disconnected: AbortSignal;
	}): Promise<void> {
		const prompt = promptText(completion.messages);
		const {blocks, hits} = this.#cache.use(manifest, prompt);
		this.#options.count('completion');
		this.#options.count('cache-blocks', blocks);
		this.#options.count('cache-hits', hits);
		this.#options.record('run', {
			requestId, model: completion.model, manifest, content: messagesHash(completion.messages), blocks, hits,
		});
		if (prompt.includes(this.#options.crashMarker)) {
			this.#options.crash(requestId);
			return;
		}

		const isLost = this.#options.takeAnswerLoss();
		await this.#pause(this.#options.prefillBlockMs * (blocks - hits), disconnected);
		const answer = new CompletionAnswer({
			response, completion, requestId, manifest,
		});
		const token = tokenSource({manifest, model: completion.model, messages: completion.messages});
		answer.begin();
		const count = isLost ? completion.maxTokens - 1 : completion.maxTokens;
		for (let index = 0; index < count && !disconnected.aborted; index++) {
			await this.#pause(this.#options.tokenIntervalMs, disconnected);
			answer.writeToken(token(index));
		}

		if (disconnected.aborted || isLost) {
			this.#options.record(isLost ? 'answer-lost' : 'cancelled', {requestId});
			response.destroy();
			return;
		}

		answer.end(completion.maxTokens, {promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN), cachedTokens: hits * BLOCK_CHARACTERS / CHARACTERS_PER_TOKEN});
		this.#options.record('answered', {requestId, manifest, tokens: completion.maxTokens});
	}

	async #pause(milliseconds: number, disconnected: AbortSignal): Promise<void> {
		const duration = milliseconds * this.#options.slowFactor();
		if (duration > 0) {
			await delay(duration, disconnected);
		}
	}
}
