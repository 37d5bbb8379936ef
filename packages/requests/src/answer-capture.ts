/** Collects the answer to a non-repeatable request, up to a limit, so that a caller who did not receive it can be sent it later. */
import {Buffer} from 'node:buffer';
import {MAX_ANSWER_BYTES} from './constants.js';
import type {KeptAnswer} from './types.js';

export class AnswerCapture {
	/** `undefined` after the limit was exceeded. */
	#parts: Uint8Array[] | undefined = [];
	#bytes = 0;

	push(part: Uint8Array): void {
		this.#bytes += part.byteLength;
		if (this.#bytes > MAX_ANSWER_BYTES) {
			this.#parts = undefined;
		}

		this.#parts?.push(part);
	}

	/** @returns the whole answer, or `undefined` when it exceeded `MAX_ANSWER_BYTES`. */
	finish(status: number, headers: readonly string[]): KeptAnswer | undefined {
		return this.#parts && {status, headers, body: Buffer.concat(this.#parts).toString('base64')};
	}
}
