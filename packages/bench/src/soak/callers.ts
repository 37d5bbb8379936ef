/** Callers of a soak run. Each sends one call after another and records every exchange. */
import {Agent} from 'undici';
import {
	delay, seededRandom, sha256, type Random,
} from '@yuccawood/common';
import {messagesHash, type Message} from '@yuccawood/stand-ins';
import type {Attempt, CallRecord} from './evidence.js';
import {exchange} from './exchange.js';

export type CallersOptions = {
	readonly seed: string;
	readonly count: number;

	/** Address of the entry for the next exchange. */
	readonly choose: () => string;

	/** Bearer keys of the accounts. */
	readonly keys: readonly string[];
	readonly model: string;
	readonly signal: AbortSignal;
};

const MAX_ATTEMPTS = 6;
const RESEND_PAUSE_MS = 150;
const MAX_THINK_MS = 150;

/** Long enough that a planned stop meets streams in progress. */
const MAX_EXTRA_TOKENS = 300;
const EXCHANGE_TIMEOUT_MS = 12_000;
const SHARE_OF_CHATS = 0.5;
const SHARE_OF_ORDERS = 0.35;

/** Share of orders without `Idempotency-Key`; these are sent again only after `not-run`. */
const SHARE_WITHOUT_KEY = 0.3;

type Planned = Omit<CallRecord, 'attempts'> & {readonly body: string | undefined; readonly stream: boolean; readonly maxAttempts: number};

export class Callers {
	readonly #options: CallersOptions;
	readonly #records: CallRecord[] = [];
	readonly #dispatcher = new Agent();
	#running: ReadonlyArray<Promise<void>> = [];
	#sequence = 0;

	constructor(options: CallersOptions) {
		this.#options = options;
	}

	get records(): readonly CallRecord[] {
		return this.#records;
	}

	start(): void {
		this.#running = Array.from({length: this.#options.count}, async (_, index) => this.#loop(seededRandom(`${this.#options.seed}/caller-${index}`)));
	}

	/** Resolves when every caller has finished its last call; the signal has to abort before. */
	async finished(): Promise<void> {
		await Promise.all(this.#running);
		await this.#dispatcher.destroy();
	}

	/** Sends a request that crashes the engine that runs it, and sends it again as its caller would. */
	async sendPoison(marker: string): Promise<void> {
		const random = seededRandom(`${this.#options.seed}/poison-${this.#sequence}`);
		await this.#send({...this.#chat(`please ${marker}`), kind: 'poison', maxAttempts: 4}, random);
	}

	async #loop(random: Random): Promise<void> {
		while (!this.#options.signal.aborted) {
			await this.#send(this.#plan(random), random);
			await delay(random.nextInteger(MAX_THINK_MS), this.#options.signal);
		}
	}

	#plan(random: Random): Planned {
		const choice = random.next();
		if (choice < SHARE_OF_CHATS) {
			return this.#chat('which knot', {stream: random.next() < 0.6, maxTokens: 4 + random.nextInteger(MAX_EXTRA_TOKENS)});
		}

		const id = this.#nextId();
		const plain = {
			id, model: '', messages: [], maxTokens: 0, stream: false,
		};
		if (choice < SHARE_OF_CHATS + SHARE_OF_ORDERS) {
			const body = JSON.stringify({call: id, kit: random.nextInteger(100)});
			const idempotencyKey = random.next() < SHARE_WITHOUT_KEY ? undefined : `key-${id}`;
			return {
				...plain, kind: 'order', content: sha256(body), method: 'POST', path: '/orders', idempotencyKey, body, maxAttempts: MAX_ATTEMPTS,
			};
		}

		const path = `/orders/${id}`;
		return {
			...plain, kind: 'read', content: sha256(path), method: 'GET', path, idempotencyKey: undefined, body: undefined, maxAttempts: 1,
		};
	}

	#chat(text: string, {stream = true, maxTokens = 8}: {readonly stream?: boolean; readonly maxTokens?: number} = {}): Planned {
		const id = this.#nextId();
		const {model} = this.#options;
		const messages: readonly Message[] = [{role: 'system', content: 'You sell rope kits.'}, {role: 'user', content: `${text} ${id}`}];
		const body = JSON.stringify({
			model, messages, max_tokens: maxTokens, stream,
		});
		return {
			id, kind: 'chat', content: messagesHash(messages), method: 'POST', path: '/v1/chat/completions', idempotencyKey: undefined, model, messages, maxTokens, body, stream, maxAttempts: 1,
		};
	}

	async #send(planned: Planned, random: Random): Promise<void> {
		const {body, stream: _stream, maxAttempts, ...call} = planned;
		const key = this.#options.keys[random.nextInteger(this.#options.keys.length)];
		const headers = {
			authorization: `Bearer ${key}`,
			...(body !== undefined && {'content-type': 'application/json'}),
			...(call.idempotencyKey !== undefined && {'idempotency-key': call.idempotencyKey}),
		};
		const attempts: Attempt[] = [];
		while (attempts.length < maxAttempts) {
			const attempt = await exchange({
				entry: this.#options.choose(), method: call.method, path: call.path, body, headers, dispatcher: this.#dispatcher, timeoutMs: EXCHANGE_TIMEOUT_MS,
			});
			attempts.push(attempt);
			if (!mayResend(call, attempt)) {
				break;
			}

			await delay(RESEND_PAUSE_MS);
		}

		this.#records.push({...call, attempts});
	}

	#nextId(): string {
		this.#sequence++;
		return `call-${this.#options.seed}-${this.#sequence}`;
	}
}

/** A caller sends again what was not run, and anything unanswered that has a key. */
const mayResend = ({idempotencyKey, kind}: Pick<CallRecord, 'idempotencyKey' | 'kind'>, {result, outcome}: Attempt): boolean => {
	if (result === 'answered' || outcome === 'completed') {
		return false;
	}

	return outcome === 'not-run' || result === 'unreached' || idempotencyKey !== undefined || kind === 'poison';
};
