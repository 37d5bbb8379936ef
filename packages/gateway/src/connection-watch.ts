/**
Bounds the bytes that an upstream sends beside the body of an answer.

An upstream in trouble may send a head, chunk extensions, trailers or bytes after an answer without end. The parser
accepts most of them byte by byte and reports nothing, so they are counted at the socket.
*/
import type {Socket} from 'node:net';
import {
	FRAMING_BYTES_PER_BODY_BYTE, MAX_CHUNK_LINE_BYTES, MAX_FRAMING_BYTES, MAX_HEAD_BYTES, MAX_HEAD_MS, MAX_INFORMATIONAL_ANSWERS,
} from './constants.js';

/** The upstream sent bytes that are no answer. */
export class MalformedAnswerError extends Error {}

const codeOf = (error: Error): string => (error as {readonly code?: string}).code ?? '';

/** Tells whether a failure comes from the bytes of an answer, not from the connection. */
export const isMalformed = (error: Error): boolean => error instanceof MalformedAnswerError || codeOf(error).startsWith('HPE_') || codeOf(error) === 'UND_ERR_HEADERS_OVERFLOW';

/** Failure of undici for an answer that no request waits for. */
const UNSOLICITED_ANSWER_MESSAGE = 'bad response';

/** What is expected on a connection; after a failed send nothing. */
type Phase = 'idle' | 'head' | 'body' | 'over';

/** Counts what one connection carries, one answer at a time. */
export class ConnectionWatch {
	readonly #onExtraBytes: (label: string) => void;
	#socket: Socket | undefined;
	#phase: Phase = 'idle';
	#label = '';

	/** Bytes of the connection at the start of the phase. */
	#phaseStartPosition = 0;
	#informationalCount = 0;

	/** Bytes of the connection after the newest informational answer. */
	#headStartPosition = 0;
	#bodyBytes = 0;

	/** Bytes of the connection at the newest part of the body, and when bytes without body began to follow it. */
	#lastBodyPosition = 0;
	#framingStartedAt: number | undefined;
	#headTimer: NodeJS.Timeout | undefined;

	/** @param onExcess told when bytes follow a complete answer, with the label of its send; the connection is closed */
	constructor(onExcess: (label: string) => void) {
		this.#onExtraBytes = onExcess;
	}

	watch(socket: Socket): void {
		this.#socket = socket;
		this.#enterPhase('idle');
		// Runs after the parser has had the bytes.
		socket.on('readable', () => {
			queueMicrotask(() => {
				this.#check(socket);
			});
		});
		socket.once('error', error => {
			if (this.#phase === 'idle' && socket === this.#socket && (isMalformed(error) || error.message === UNSOLICITED_ANSWER_MESSAGE)) {
				this.#onExtraBytes(this.#label);
			}
		});
	}

	begin(label: string): void {
		this.#label = label;
		this.#enterPhase('head');
		this.#informationalCount = 0;
	}

	recordHead(status: number): void {
		clearTimeout(this.#headTimer);
		this.#headTimer = undefined;
		if (status >= 200) {
			this.#enterPhase('body');
			this.#bodyBytes = 0;
			this.#lastBodyPosition = this.#phaseStartPosition;
			this.#framingStartedAt = undefined;
		} else if (++this.#informationalCount > MAX_INFORMATIONAL_ANSWERS) {
			this.#fail(`more than ${MAX_INFORMATIONAL_ANSWERS} informational answers`);
		} else {
			this.#headStartPosition = this.#bytesRead;
		}
	}

	recordBody(bytes: number): void {
		this.#bodyBytes += bytes;
		this.#lastBodyPosition = this.#bytesRead;
		this.#framingStartedAt = undefined;
	}

	end(): void {
		this.#enterPhase('idle');
	}

	/** Closes the connection; the send in progress fails with the reason. */
	abort(reason: Error): void {
		this.#socket?.destroy(reason);
	}

	/** Nothing is counted once a send failed, because its connection is closed. */
	abandon(): void {
		this.#enterPhase('over');
	}

	/** Bytes that the parser has had. */
	get #bytesRead(): number {
		return this.#socket ? this.#socket.bytesRead - this.#socket.readableLength : 0;
	}

	#enterPhase(phase: Phase): void {
		clearTimeout(this.#headTimer);
		this.#headTimer = undefined;
		this.#phase = phase;
		this.#phaseStartPosition = this.#bytesRead;
		this.#headStartPosition = this.#phaseStartPosition;
	}

	#check(socket: Socket): void {
		if (socket !== this.#socket || socket.destroyed) {
			return;
		}

		const bytes = this.#bytesRead - this.#phaseStartPosition;
		if (this.#phase === 'head') {
			this.#checkHead(bytes);
		} else if (this.#phase === 'body') {
			this.#checkFraming(bytes);
		} else if (this.#phase === 'idle' && bytes > 0) {
			socket.destroy();
			this.#onExtraBytes(this.#label);
		}
	}

	#checkHead(bytes: number): void {
		if (bytes > MAX_HEAD_BYTES) {
			this.#fail(`no whole head in ${MAX_HEAD_BYTES} bytes`);
		} else if (this.#bytesRead > this.#headStartPosition) {
			this.#headTimer ??= setTimeout(this.#onHeadTimeout, MAX_HEAD_MS);
		}
	}

	readonly #onHeadTimeout = (): void => {
		const timer = this.#headTimer;
		// A process that was paused reads first what arrived meanwhile.
		setImmediate(() => {
			if (timer === this.#headTimer) {
				this.#fail(`no whole head ${MAX_HEAD_MS} ms after its first byte`);
			}
		});
	};

	#checkFraming(bytes: number): void {
		if (bytes - this.#bodyBytes > MAX_FRAMING_BYTES + (this.#bodyBytes * FRAMING_BYTES_PER_BODY_BYTE)) {
			this.#fail(`${bytes} bytes hold ${this.#bodyBytes} bytes of body`);
			return;
		}

		const now = performance.now();
		this.#framingStartedAt ??= now;
		if (this.#bytesRead - this.#lastBodyPosition > MAX_CHUNK_LINE_BYTES && now - this.#framingStartedAt > MAX_HEAD_MS) {
			this.#fail(`no body in the bytes of ${MAX_HEAD_MS} ms`);
		}
	}

	#fail(detail: string): void {
		this.abort(new MalformedAnswerError(detail));
	}
}
