/** Chunks and loaded versions of an engine stand-in, and its check of fencing numbers. */
import {
	Err, Ok, sha256, type Result,
} from '@yuccawood/common';
import type {
	FailureBody, LoadedVersion, LoadOrder, Order,
} from '@yuccawood/interfaces';
import {manifestText} from './create-weights.js';

type Chunk = {readonly hash: string; readonly bytes: number};

export class EngineWeights {
	readonly #checksFencing: boolean;

	/** Actual hash and size of the chunk stored under each claimed hash. Wrong bytes are accepted, as by an engine that does not verify chunks. */
	readonly #chunks = new Map<string, Chunk>();
	#versions: readonly LoadedVersion[] = [];
	#highestFencingNumber = 0;

	constructor({checksFencing}: {readonly checksFencing: boolean}) {
		this.#checksFencing = checksFencing;
	}

	get versions(): readonly LoadedVersion[] {
		return this.#versions;
	}

	/** @returns whether the bytes match the claimed hash. */
	putChunk(claimed: string, data: Uint8Array): boolean {
		const hash = sha256(data);
		this.#chunks.set(claimed, {hash, bytes: data.byteLength});
		return hash === claimed;
	}

	/** @returns the failure for an order whose fencing number is lower than an earlier one, if fencing numbers are checked. */
	checkFencing({fencingNumber}: Order): FailureBody | undefined {
		if (this.#checksFencing && fencingNumber < this.#highestFencingNumber) {
			return {kind: 'stale-fencing', detail: `Fencing number ${fencingNumber} is below ${this.#highestFencingNumber}.`, remedy: 'Take the lease again before further orders.'};
		}

		this.#highestFencingNumber = Math.max(this.#highestFencingNumber, fencingNumber);
		return undefined;
	}

	/** Assembles a version from its chunks. @returns the hash of the manifest computed from the stored bytes, which differs from the ordered one if a chunk is corrupt. */
	load(order: LoadOrder): Result<string, FailureBody> {
		const missing = order.chunks.filter(hash => !this.#chunks.has(hash));
		if (missing.length > 0) {
			return Err({kind: 'rejected', detail: `${missing.length} of ${order.chunks.length} chunks are missing, the first is ${missing[0]}.`, remedy: 'Hand over all chunks first.'});
		}

		const manifest = this.#assembledManifest(order);
		if (!this.#versions.some(other => other.manifest === manifest)) {
			const {name, version, kind} = order;
			this.#versions = [...this.#versions, {
				name, version, kind, manifest, active: false,
			}];
		}

		return Ok(manifest);
	}

	activate({manifest}: Order): Result<void, FailureBody> {
		const wanted = this.#versions.find(other => other.manifest === manifest);
		if (!wanted) {
			return Err({kind: 'rejected', detail: `The manifest ${manifest} is not loaded.`, remedy: 'Load it first.'});
		}

		this.#versions = this.#versions.map(other => other.name === wanted.name ? {...other, active: other === wanted} : other);
		return Ok(undefined);
	}

	unload({manifest}: Order): Result<void, FailureBody> {
		if (this.#versions.some(other => other.manifest === manifest && other.active)) {
			return Err({kind: 'rejected', detail: `The manifest ${manifest} is active.`, remedy: 'Activate another version of the same name first.'});
		}

		this.#versions = this.#versions.filter(other => other.manifest !== manifest);
		return Ok(undefined);
	}

	/** Sets the loaded versions without their chunks, for tests without a rollout. */
	preset(versions: readonly LoadedVersion[]): void {
		this.#versions = versions;
	}

	/** Drops chunks, versions and the highest fencing number, as a restart does. */
	clear(): void {
		this.#chunks.clear();
		this.#versions = [];
		this.#highestFencingNumber = 0;
	}

	/**
	Computes the hash of the manifest from the stored chunks.

	An order for an adapter does not contain the base model, so each loaded model is tried.
	*/
	#assembledManifest({name, version, kind, chunks, manifest}: LoadOrder): string {
		const held = chunks.map(hash => this.#chunks.get(hash)!);
		const bases = kind === 'model' ? [undefined] : [undefined, ...this.#versions.filter(other => other.kind === 'model').map(other => other.name)];
		const hashes = bases.map(base => sha256(manifestText({
			name, version, kind, base, sizeBytes: held.reduce((sum, {bytes}) => sum + bytes, 0), chunkBytes: held[0]?.bytes ?? 0, chunks: held.map(({hash}) => hash),
		})));
		return hashes.find(hash => hash === manifest) ?? hashes[0];
	}
}
