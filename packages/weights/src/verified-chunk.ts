/** Chunks whose hash has been checked. Only this module can create them, so an unchecked chunk cannot be stored or loaded. */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {setImmediate as yieldToEventLoop} from 'node:timers/promises';
import {Err, Ok, type Result} from '@yuccawood/common';
import {HASH_SLICE_BYTES} from './constants.js';
import {ChunkError} from './errors.js';

const verified = Symbol('verified');

/** A chunk whose bytes have the SHA-256 `hash`. */
export type VerifiedChunk = {
	readonly [verified]: true;
	readonly hash: string;
	readonly data: Uint8Array;
};

const checkHash = (hash: string, data: Uint8Array, found: string): Result<VerifiedChunk, ChunkError> => found === hash
	? Ok({[verified]: true, hash, data})
	: Err(new ChunkError({kind: 'corrupt', detail: `Chunk ${hash} arrived with the hash ${found}.`, remedy: 'It is fetched again from another source.'}));

const wrongSize = (hash: string, found: number, expected: number): ChunkError => new ChunkError({
	kind: 'wrong-size', detail: `Chunk ${hash} has ${found} bytes instead of ${expected}.`, remedy: 'It is fetched again from another source.',
});

/** Checks the size and hash of a chunk. It is hashed in slices, so that the event loop is not blocked for long. */
export const verifyChunk = async (hash: string, sizeBytes: number, data: Uint8Array): Promise<Result<VerifiedChunk, ChunkError>> => {
	if (data.byteLength !== sizeBytes) {
		return Err(wrongSize(hash, data.byteLength, sizeBytes));
	}

	const digest = createHash('sha256');
	for (let start = 0; start < data.byteLength; start += HASH_SLICE_BYTES) {
		if (start > 0) {
			await yieldToEventLoop();
		}

		digest.update(data.subarray(start, start + HASH_SLICE_BYTES));
	}

	return checkHash(hash, data, digest.digest('hex'));
};

/** Assembles a chunk of known size from the parts of a stream and hashes each part as it arrives. */
export class ChunkAssembler {
	readonly #digest = createHash('sha256');
	readonly #data: Uint8Array;
	#size = 0;

	constructor(readonly hash: string, readonly sizeBytes: number) {
		this.#data = Buffer.allocUnsafeSlow(sizeBytes);
	}

	/** Appends a part. @returns whether it fits; if it does not, the chunk is invalid. */
	add(part: Uint8Array): boolean {
		const start = this.#size;
		this.#size += part.byteLength;
		if (this.#size > this.sizeBytes) {
			return false;
		}

		this.#data.set(part, start);
		this.#digest.update(part);
		return true;
	}

	/** @returns the chunk, or an error if its size or hash is wrong. */
	finish(): Result<VerifiedChunk, ChunkError> {
		return this.#size === this.sizeBytes
			? checkHash(this.hash, this.#data, this.#digest.digest('hex'))
			: Err(wrongSize(this.hash, this.#size, this.sizeBytes));
	}
}
