/** Benchmark `path`: entry and agent compared with a minimal pass-through of two hops and with direct calls, interleaved in one run. */
import {fileURLToPath} from 'node:url';
import {createWeights} from '@yuccawood/stand-ins';
import {Child, waitUntil} from '../fleet/child.js';
import {documentText} from '../fleet/document.js';
import {Fleet} from '../fleet/fleet.js';
import {freeAddresses} from '../fleet/ports.js';
import type {Benchmark} from '../types.js';
import {PathLoad, percentileMs} from './path-load.js';

const MODEL = 'kit-assistant';
const WEIGHTS = {
	seed: 'path-v1', name: MODEL, version: 'v1', kind: 'model', sizeBytes: 64 * 1024, chunkBytes: 16 * 1024,
} as const;

const ROUNDS = 4;
const WARM_UP_MS = 1500;
const PACED_PER_SECOND = 300;
const STREAMS = 40;
const BYTES_PER_MB = 1024 * 1024;

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

class PathFleet {
	readonly fleet = new Fleet({weights: [`${WEIGHTS.seed}:${MODEL}:v1:model:${WEIGHTS.sizeBytes}:${WEIGHTS.chunkBytes}`], logLevel: 'warn'});
	readonly #hops: Child[] = [];

	/** @returns the addresses of the three paths to the same upstream. */
	async start(): Promise<{readonly direct: string; readonly bare: string; readonly product: string}> {
		await this.fleet.start();
		const document = documentText({model: {name: MODEL, version: 'v1', manifest: createWeights(WEIGHTS).hash}});
		const {exitCode, output} = await this.fleet.operate(['init', 'FILE'], {file: document});
		if (exitCode !== 0) {
			throw new Error(`The document was not accepted: ${output}`);
		}

		const entry = await this.fleet.addEntry('entry-1');
		const agent = await this.fleet.addAgent('engine-1', {
			kind: 'engine', service: MODEL, capacity: 256, standInArgs: ['--token-interval-ms', '0'],
		});
		await this.#serving(entry.callers ?? '');
		const direct = agent.upstreamAddress ?? '';
		const [outer, inner] = await freeAddresses(2);
		await this.#startHop(inner, direct);
		await this.#startHop(outer, inner);
		return {direct, bare: outer, product: entry.callers ?? ''};
	}

	/** Resident memory of a VM's daemon in MB. */
	async residentMb(id: string): Promise<number> {
		const {residentBytes} = await this.fleet.find(id).daemon.usage();
		return round(residentBytes / BYTES_PER_MB, 1);
	}

	async close(): Promise<void> {
		await Promise.all(this.#hops.map(async hop => hop.kill()));
		await this.fleet.close();
	}

	async #startHop(listen: string, target: string): Promise<void> {
		const hop = new Child({name: 'bare-hop', script: fileURLToPath(new URL('bare-hop.js', import.meta.url)), args: [listen, target]});
		this.#hops.push(hop);
		await waitUntil(() => hop.lines.length > 0, {subject: 'the bare hop to listen'});
	}

	async #serving(address: string): Promise<void> {
		await waitUntil(async () => {
			try {
				const response = await fetch(`http://${address}/v1/chat/completions`, {
					method: 'POST', body: JSON.stringify({model: MODEL, messages: [{role: 'user', content: 'ready?'}], max_tokens: 1}),
				});
				await response.text();
				return response.status === 200;
			} catch {
				return false;
			}
		}, {subject: 'the first answer', limitMs: 20_000, pauseMs: 100});
	}
}

const measure = async (loads: readonly PathLoad[], milliseconds: number, progress: (line: string) => void): Promise<void> => {
	for (const load of loads) {
		await load.saturate(WARM_UP_MS);
	}

	for (const load of loads) {
		load.reset();
	}

	for (let i = 1; i <= ROUNDS; i++) {
		progress(`Round ${i} of ${ROUNDS}.`);
		for (const load of loads) {
			await load.saturate(milliseconds);
		}

		for (const load of loads) {
			await load.pace(milliseconds, PACED_PER_SECOND);
		}

		for (const load of loads) {
			await load.stream(STREAMS);
		}
	}
};

const report = (direct: PathLoad, bare: PathLoad, product: PathLoad): Readonly<Record<string, number>> => {
	const added = (percentile: number): number => round(percentileMs(product.latencies, percentile) - percentileMs(bare.latencies, percentile));
	return {
		directRps: round(direct.requestsPerSecond, 0),
		bareRps: round(bare.requestsPerSecond, 0),
		rps: round(product.requestsPerSecond, 0),
		throughputRatio: round(product.requestsPerSecond / bare.requestsPerSecond),
		directP50Ms: round(percentileMs(direct.latencies, 50)),
		bareP50Ms: round(percentileMs(bare.latencies, 50)),
		p50Ms: round(percentileMs(product.latencies, 50)),
		p50AddedMs: added(50),
		p99AddedMs: added(99),
		ttftAddedMs: round(percentileMs(product.firstTokens, 50) - percentileMs(bare.firstTokens, 50)),
	};
};

export const PATH_BENCHMARK: Benchmark = {
	name: 'path',
	description: 'throughput and latency that entry and agent add to a minimal two-hop pass-through',
	options: [{flags: '--milliseconds <n>', description: 'length of each part of a round', default: '1500'}],
	async run({milliseconds}, progress) {
		const fleet = new PathFleet();
		const loads: PathLoad[] = [];
		try {
			const {direct, bare, product} = await fleet.start();
			const idle = {rssMbEntry: await fleet.residentMb('entry-1'), rssMbAgent: await fleet.residentMb('engine-1')};
			loads.push(...[direct, bare, product].map(address => new PathLoad({address, model: MODEL})));
			await measure(loads, Number(milliseconds), progress);
			return {...report(loads[0], loads[1], loads[2]), ...idle};
		} finally {
			await Promise.all(loads.map(async load => load.close()));
			await fleet.close();
		}
	},
};
