/** The fleet that the benchmark `requests` measures: two entries, three engines and two workers of the order service, with relays to the upstreams. */
import {sha256} from '@yuccawood/common';
import {createWeights} from '@yuccawood/stand-ins';
import {callChat} from '../callers/chat-call.js';
import type {CallRecord} from '../callers/types.js';
import {waitUntil} from '../fleet/child.js';
import {documentText} from '../fleet/document.js';
import {Fleet} from '../fleet/fleet.js';
import {TcpRelay} from '../soak/tcp-relay.js';

export const MODEL = 'kit-assistant';
export const LARGE = 'large-key';
export const SMALL = 'small-key';
export const ENGINES: readonly string[] = ['engine-1', 'engine-2', 'engine-3'];
export const ENGINE_CAPACITY = 4;
export const TOKENS = 20;

const WEIGHTS = {
	seed: 'requests-v1', name: MODEL, version: 'v1', kind: 'model', sizeBytes: 64 * 1024, chunkBytes: 16 * 1024,
} as const;

const MANIFEST = createWeights(WEIGHTS).hash;
const SERVICES = ['orders-1', 'orders-2'];
const ENTRIES = ['entry-1', 'entry-2'];

const account = (name: string, key: string): string => `[account.${name}]\nkey = sha256:${sha256(key)}\nrequests_per_second = 2000\nconcurrent = 500\npriority = 5\n`;

export class RequestsFleet {
	readonly fleet = new Fleet({
		weights: [`${WEIGHTS.seed}:${MODEL}:v1:model:${WEIGHTS.sizeBytes}:${WEIGHTS.chunkBytes}`],
		logLevel: 'warn',
		route: async (_vm, part, address) => part === 'upstream' ? this.#relay(address) : address,
	});

	readonly #relays: TcpRelay[] = [];
	#next = 0;

	async start(): Promise<void> {
		await this.fleet.start();
		const document = documentText({model: {name: MODEL, version: 'v1', manifest: MANIFEST}, accounts: account('large', LARGE) + account('small', SMALL)});
		const {exitCode, output} = await this.fleet.operate(['init', 'FILE'], {file: document});
		if (exitCode !== 0) {
			throw new Error(`The document was not accepted: ${output}`);
		}

		for (const id of ENTRIES) {
			await this.fleet.addEntry(id);
		}

		for (const id of ENGINES) {
			await this.fleet.addAgent(id, {
				kind: 'engine', service: MODEL, capacity: ENGINE_CAPACITY, standInArgs: ['--cache-blocks', '120'],
			});
		}

		for (const id of SERVICES) {
			await this.fleet.addAgent(id, {kind: 'service', service: 'orders'});
		}

		await this.fleet.waitForAll('the version on every engine', ({revision}) => revision === 1);
		await waitUntil(async () => {
			const replies = await Promise.all(Array.from({length: ENGINES.length * ENGINE_CAPACITY}, async (_, i) => this.chat({prompt: `ready ${i}?`})));
			return replies.every(({result}) => result === 'answered');
		}, {subject: 'all engines to answer', limitMs: 30_000, pauseMs: 300});
	}

	/** Sends one chat completion through the next entry. */
	async chat({prompt, bearer = LARGE, tokens = TOKENS}: {readonly prompt: string; readonly bearer?: string; readonly tokens?: number}): Promise<CallRecord> {
		return this.chatAt(this.nextEntry(), prompt, {bearer, tokens});
	}

	async chatAt(address: string, prompt: string, {bearer = LARGE, tokens = TOKENS}: {readonly bearer?: string; readonly tokens?: number} = {}): Promise<CallRecord> {
		return callChat({
			address, model: MODEL, prompt, tokens, stream: false, bearer, manifests: [MANIFEST],
		});
	}

	nextEntry(): string {
		this.#next++;
		return this.fleet.find(ENTRIES[this.#next % ENTRIES.length]).callers ?? '';
	}

	/** Address of a VM's upstream without the relay. */
	upstreamOf(id: string): string {
		return this.fleet.find(id).upstreamAddress ?? '';
	}

	/** Stops established connections to all upstreams from carrying data; new ones work. */
	silenceUpstreams(): void {
		for (const relay of this.#relays) {
			relay.silence();
		}
	}

	async close(): Promise<void> {
		await this.fleet.close();
		await Promise.all(this.#relays.map(async relay => relay.close()));
	}

	async #relay(target: string): Promise<string> {
		const relay = new TcpRelay({target});
		this.#relays.push(relay);
		return relay.listen();
	}
}
