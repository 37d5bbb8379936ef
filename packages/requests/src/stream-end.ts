/** Recognises the end mark of a chat stream, so that a stream that ends early is not taken as complete. */
import {Buffer} from 'node:buffer';

const END_MARKER = 'data: [DONE]';

/** End mark and trailing line ends. */
const TAIL_BYTES = 24;

export class StreamEndDetector {
	#tail: Uint8Array = Buffer.alloc(0);

	get isComplete(): boolean {
		return Buffer.from(this.#tail).toString('latin1').trimEnd().endsWith(END_MARKER);
	}

	push(chunk: Uint8Array): void {
		this.#tail = chunk.byteLength >= TAIL_BYTES ? chunk.subarray(-TAIL_BYTES) : Buffer.concat([this.#tail, chunk]).subarray(-TAIL_BYTES);
	}
}
