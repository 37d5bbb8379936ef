/** Stand-in for the origin of weights, with limited bandwidth and injectable faults. */
import {Buffer} from 'node:buffer';
import {
	delay, seededRandom, SystemClock, type Clock, type Random,
} from '@yuccawood/common';
import {CHUNKS_PATH, MANIFESTS_PATH} from '@yuccawood/interfaces';
import {createWeights, type GeneratedWeights, type WeightsOptions} from './create-weights.js';
import {SharedLink} from './shared-link.js';
import {
	disconnectSignal, sendFailure, StandIn, type Call, type CommonFaults,
} from './stand-in.js';

export type OriginFaults = CommonFaults & {
	/** Reduced bandwidth of the link, in bytes per second; 0 for none. It never raises `linkBytesPerSecond`. */
	slowBytesPerSecond: number;

	/** While true, no bytes are sent, but connections stay open. */
	isStopped: boolean;

	/** Number of next chunks whose connection is closed after half of the bytes. */
	cutChunks: number;

	/** Number of next chunks that are sent with one wrong byte. */
	corruptChunks: number;

	/** Share of chunks that are sent with one wrong byte, from 0 to 1. */
	corruptShare: number;

	/** Number of next manifests that are sent without their second half, as complete responses. */
	truncateManifests: number;
};

export type OriginOptions = {
	/** Bandwidth that all connections share; unlimited by default. */
	readonly linkBytesPerSecond?: number;
	readonly weights?: ReadonlyArray<GeneratedWeights | WeightsOptions>;

	/** Decides which chunks are corrupt. */
	readonly random?: Random;
	readonly clock?: Clock;
};

/** Bytes written at a time. Connections share the bandwidth in units of this size. */
const SLICE_BYTES = 16 * 1024;
/** Interval at which a stopped response checks whether it may continue. */
const STOPPED_POLL_MS = 10;

export class OriginStandIn extends StandIn<OriginFaults> {
	readonly #objects = new Map<string, Uint8Array>();
	readonly #linkBytesPerSecond: number;
	readonly #random: Random;
	readonly #link: SharedLink;
	readonly #bytesByPath = new Map<string, number>();

	constructor({linkBytesPerSecond = Number.POSITIVE_INFINITY, weights = [], random = seededRandom('origin'), clock = new SystemClock()}: OriginOptions = {}) {
		super({
			downMs: 0, breakConnections: false, slowBytesPerSecond: 0, isStopped: false, cutChunks: 0, corruptChunks: 0, corruptShare: 0, truncateManifests: 0,
		});
		this.#linkBytesPerSecond = linkBytesPerSecond;
		this.#random = random;
		this.#link = new SharedLink({clock});
		for (const one of weights) {
			this.add('manifest' in one ? one : createWeights(one));
		}
	}

	/** Bytes sent for each object, by its path. */
	get served(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#bytesByPath);
	}

	get bytesServed(): number {
		return [...this.#bytesByPath.values()].reduce((sum, bytes) => sum + bytes, 0);
	}

	add(weights: GeneratedWeights): void {
		this.#objects.set(`${MANIFESTS_PATH}/${weights.hash}`, weights.manifest);
		for (const {hash, data} of weights.chunks) {
			this.#objects.set(`${CHUNKS_PATH}/${hash}`, data);
		}
	}

	protected override async handleControl({method, url, response}: Call): Promise<boolean> {
		if (method !== 'GET' || url.pathname !== '/served') {
			return false;
		}

		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({bytesServed: this.bytesServed, served: this.served}));
		return true;
	}

	protected override async handle({response, url}: Call): Promise<void> {
		const {pathname} = url;
		const object = this.#objects.get(pathname);
		if (!object) {
			this.record('missing', {pathname});
			sendFailure(response, {kind: 'not-found', detail: `${pathname} does not exist.`, remedy: 'Check the hash.'});
			return;
		}

		const isChunk = pathname.startsWith(CHUNKS_PATH);
		this.count(isChunk ? 'chunk' : 'manifest');
		const fault = isChunk ? this.#chunkFault() : this.#manifestFault();
		this.record('served', {pathname, fault, bytes: object.byteLength});
		await this.#send(pathname, response, applyFault(object, fault), fault === 'cut');
	}

	#chunkFault(): 'none' | 'cut' | 'corrupt' {
		if (this.faults.cutChunks > 0) {
			this.faults.cutChunks--;
			return 'cut';
		}

		if (this.faults.corruptChunks > 0) {
			this.faults.corruptChunks--;
			return 'corrupt';
		}

		return this.faults.corruptShare > 0 && this.#random.next() < this.faults.corruptShare ? 'corrupt' : 'none';
	}

	#manifestFault(): 'none' | 'truncated' {
		if (this.faults.truncateManifests === 0) {
			return 'none';
		}

		this.faults.truncateManifests--;
		return 'truncated';
	}

	async #send(pathname: string, response: Call['response'], data: Uint8Array, isCut: boolean): Promise<void> {
		const disconnected = disconnectSignal(response);
		response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': data.byteLength});
		response.flushHeaders();
		const end = isCut ? Math.floor(data.byteLength / 2) : data.byteLength;
		for (let offset = 0; offset < end; offset += SLICE_BYTES) {
			const slice = data.subarray(offset, Math.min(end, offset + SLICE_BYTES));
			await this.#waitForLink(slice.byteLength, disconnected);
			if (disconnected.aborted) {
				return;
			}

			this.#bytesByPath.set(pathname, (this.#bytesByPath.get(pathname) ?? 0) + slice.byteLength);
			if (!response.write(slice)) {
				await waitForDrain(response, disconnected);
			}
		}

		if (isCut) {
			response.destroy();
			return;
		}

		response.end();
	}

	async #waitForLink(bytes: number, disconnected: AbortSignal): Promise<void> {
		while (this.faults.isStopped && !disconnected.aborted) {
			await delay(STOPPED_POLL_MS, disconnected);
		}

		const {slowBytesPerSecond} = this.faults;
		const rate = slowBytesPerSecond > 0 ? Math.min(slowBytesPerSecond, this.#linkBytesPerSecond) : this.#linkBytesPerSecond;
		await this.#link.waitFor(bytes, rate, disconnected);
	}
}

const applyFault = (object: Uint8Array, fault: 'none' | 'cut' | 'corrupt' | 'truncated'): Uint8Array => {
	if (fault === 'truncated') {
		return object.subarray(0, Math.floor(object.byteLength / 2));
	}

	if (fault !== 'corrupt') {
		return object;
	}

	const copy = Buffer.from(object);
	const middle = Math.floor(copy.byteLength / 2);
	copy[middle] = (copy[middle] + 1) % 256;
	return copy;
};

const waitForDrain = async (response: Call['response'], disconnected: AbortSignal): Promise<void> => {
	await new Promise<void>(resolve => {
		const finish = (): void => {
			response.off('drain', finish);
			disconnected.removeEventListener('abort', finish);
			resolve();
		};

		if (disconnected.aborted) {
			finish();
			return;
		}

		response.on('drain', finish);
		disconnected.addEventListener('abort', finish, {once: true});
	});
};
