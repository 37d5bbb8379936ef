/**
Limits the body of a refusal. The head is enough to decide; the body is read only to keep the connection reusable.
*/
import {MalformedAnswerError} from '@yuccawood/common';
import {MAX_REFUSAL_BYTES, MAX_REFUSAL_MS} from './constants.js';

export class RefusalBody {
	readonly #abort: (reason: Error) => void;
	readonly #timer: NodeJS.Timeout;
	#receivedBytes = 0;

	/** @param abort closes the connection when a limit is exceeded */
	constructor(abort: (reason: Error) => void) {
		this.#abort = abort;
		this.#timer = setTimeout(() => {
			abort(new MalformedAnswerError(`the refusal did not end within ${MAX_REFUSAL_MS} ms`));
		}, MAX_REFUSAL_MS);
	}

	add(chunk: Uint8Array): void {
		this.#receivedBytes += chunk.byteLength;
		if (this.#receivedBytes > MAX_REFUSAL_BYTES) {
			this.#abort(new MalformedAnswerError(`the body of the refusal exceeds ${MAX_REFUSAL_BYTES} bytes`));
		}
	}

	end(): void {
		clearTimeout(this.#timer);
	}
}
