/** Collects the answer to a non-repeatable request up to a limit, so that it can be repeated to a caller that did not receive it. */
import {Buffer} from 'node:buffer';
import {MAX_ANSWER_BYTES} from './constants.js';
import type {KeptAnswer} from './types.js';

export class AnswerCapture {
	#parts: Uint8Array[] | undefined = [];
	#bytes = 0;

	push(part: Uint8Array): void {
		this.#bytes += part.byteLength;
		if (this.#bytes > MAX_ANSWER_BYTES) {
			this.#parts = undefined;
		}

		this.#parts?.push(part);
	}

	/** @returns `undefined` when the answer exceeded the limit. */
	finish(status: number, headers: readonly string[]): KeptAnswer | undefined {
		return this.#parts && {status, headers, body: Buffer.concat(this.#parts).toString('base64')};
	}
}
