/** Load on one address: closed loop for throughput, fixed rate for latency, streams for the time to the first token. */
import {Pool} from 'undici';
import {build, type Histogram} from 'hdr-histogram-js';
import {delay} from '@yuccawood/common';

const CONNECTIONS = 64;
const MICROSECONDS = 1000;

export type LoadTarget = {
	readonly address: string;
	readonly model: string;
};

export class PathLoad {
	readonly latencies: Histogram = build();
	readonly firstTokens: Histogram = build();
	readonly #pool: Pool;
	readonly #model: string;
	#answered = 0;
	#seconds = 0;
	#sequence = 0;

	constructor({address, model}: LoadTarget) {
		this.#pool = new Pool(`http://${address}`, {connections: CONNECTIONS});
		this.#model = model;
	}

	/** Answers per second of all closed-loop rounds. */
	get requestsPerSecond(): number {
		return this.#answered / this.#seconds;
	}

	/** Forgets what was measured, for example while warming up. */
	reset(): void {
		this.#answered = 0;
		this.#seconds = 0;
		this.latencies.reset();
		this.firstTokens.reset();
	}

	/** Sends requests one after the other over each of the connections. */
	async saturate(milliseconds: number): Promise<void> {
		const start = performance.now();
		const end = start + milliseconds;
		await Promise.all(Array.from({length: CONNECTIONS}, async () => {
			while (performance.now() < end) {
				await this.#call(false);
				this.#answered++;
			}
		}));
		this.#seconds += (performance.now() - start) / 1000;
	}

	/** Sends requests at a fixed rate and records their latencies. */
	async pace(milliseconds: number, perSecond: number): Promise<void> {
		const start = performance.now();
		const count = Math.floor(milliseconds * perSecond / 1000);
		const calls: Array<Promise<void>> = [];
		for (let i = 0; i < count; i++) {
			await delay(Math.max(0, start + (i * 1000 / perSecond) - performance.now()));
			calls.push(this.#timed());
		}

		await Promise.all(calls);
	}

	/** Sends streams one after the other and records the time to their first data. */
	async stream(count: number): Promise<void> {
		for (let i = 0; i < count; i++) {
			const start = performance.now();
			let isFirst = true;
			for await (const _part of await this.#send(true)) {
				if (isFirst) {
					this.firstTokens.recordValue(Math.round((performance.now() - start) * MICROSECONDS));
					isFirst = false;
				}
			}
		}
	}

	async close(): Promise<void> {
		await this.#pool.destroy();
	}

	async #timed(): Promise<void> {
		const start = performance.now();
		await this.#call(false);
		this.latencies.recordValue(Math.round((performance.now() - start) * MICROSECONDS));
	}

	async #call(stream: boolean): Promise<void> {
		const body = await this.#send(stream);
		await body.text();
	}

	async #send(stream: boolean) {
		this.#sequence++;
		const {statusCode, body} = await this.#pool.request({
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				model: this.#model, messages: [{role: 'user', content: `How long is rope ${this.#sequence}?`}], max_tokens: stream ? 8 : 1, stream,
			}),
		});
		if (statusCode !== 200) {
			throw new Error(`Status ${statusCode}: ${await body.text()}`);
		}

		return body;
	}
}

/** Milliseconds at a percentile of a histogram in microseconds. */
export const percentileMs = (histogram: Histogram, percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS;
