/** Detects the end marker of a chat stream. A stream without it was interrupted, even if its connection closed normally. */
import {Buffer} from 'node:buffer';

const END_MARKER = 'data: [DONE]';

/** Bytes kept from the end of the stream: enough for the end marker and the line ends after it. */
const TAIL_BYTES = 24;

export class StreamEndDetector {
	#tail: Uint8Array = Buffer.alloc(0);

	/** Whether the data so far ends with the end marker. */
	get isComplete(): boolean {
		return Buffer.from(this.#tail).toString('latin1').trimEnd().endsWith(END_MARKER);
	}

	push(chunk: Uint8Array): void {
		this.#tail = chunk.byteLength >= TAIL_BYTES ? chunk.subarray(-TAIL_BYTES) : Buffer.concat([this.#tail, chunk]).subarray(-TAIL_BYTES);
	}
}
