/** Keeps callers going until it is stopped, and remembers what each of them saw. */
import {delay, type Random} from '@yuccawood/common';
import type {Balancer} from './balancer.js';
import {callChat} from './chat-call.js';
import {callOrder} from './order-call.js';
import type {CallRecord} from './types.js';

export type TrafficOptions = {
	readonly balancer: Balancer;
	readonly random: Random;
	readonly model: string;

	/** Manifests that may answer. */
	readonly manifests: readonly string[];
	readonly chatCallers?: number;
	readonly orderCallers?: number;
	readonly tokens?: number;

	/** Longest pause of a caller between two calls, in milliseconds. */
	readonly pauseMs?: number;
	readonly bearer?: string;
};

/** Sends of one order: a caller sends it again, with the same key, until it knows that it was run. */
const MAX_SENDS = 8;
const RESEND_PAUSE_MS = 250;

export class Traffic {
	readonly records: CallRecord[] = [];
	readonly #options: Required<Omit<TrafficOptions, 'bearer'>> & Pick<TrafficOptions, 'bearer'>;
	readonly #ended = new AbortController();
	#tasks: Array<Promise<void>> = [];
	#sequence = 0;

	constructor(options: TrafficOptions) {
		this.#options = {
			chatCallers: 6, orderCallers: 2, tokens: 20, pauseMs: 40, ...options,
		};
	}

	start(): void {
		const {chatCallers, orderCallers} = this.#options;
		this.#tasks = [
			...Array.from({length: chatCallers}, async (_, index) => this.#repeat(async () => this.#chat(index))),
			...Array.from({length: orderCallers}, async (_, index) => this.#repeat(async () => this.#order(index))),
		];
	}

	/** Ends the callers after their calls in progress. */
	async stop(): Promise<void> {
		this.#ended.abort();
		await Promise.all(this.#tasks);
	}

	async #repeat(step: () => Promise<void>): Promise<void> {
		const {random, pauseMs} = this.#options;
		while (!this.#ended.signal.aborted) {
			await step();
			await delay(random.nextInteger(pauseMs) + 1, this.#ended.signal);
		}
	}

	async #chat(caller: number): Promise<void> {
		const {balancer, random, model, manifests, tokens, bearer} = this.#options;
		const address = balancer.pick();
		if (address === undefined) {
			return;
		}

		const prompt = `Caller ${caller} asks question ${this.#sequence++}.`;
		this.records.push(await callChat({
			address, model, prompt, tokens, stream: random.next() < 0.5, manifests, bearer,
		}));
	}

	async #order(caller: number): Promise<void> {
		const {balancer, bearer} = this.#options;
		const key = `order-${caller}-${this.#sequence++}`;
		const body = JSON.stringify({item: 'kit', quantity: 1, key});
		for (let send = 0; send < MAX_SENDS; send++) {
			const address = balancer.pick();
			if (address !== undefined) {
				const record = await callOrder({
					address, key, body, bearer,
				});
				this.records.push(record);
				if (record.result === 'answered' || record.result === 'wrong') {
					return;
				}
			}

			await delay(RESEND_PAUSE_MS);
		}
	}
}
