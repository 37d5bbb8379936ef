/**
Limits the bytes other than body data that a server may send.

A faulty server may send an endless head, endless chunk extensions or trailers, or bytes after a complete answer.
Undici's parser accepts most of these byte by byte and reports nothing, so they are counted at the socket. It handles all that
it reads at once before anything else runs, and short header lines take it far longer than other bytes, so it reads small
pieces, and their lines are counted.
*/
import type {Socket} from 'node:net';
import {
	BODY_PIECE_BYTES, FRAMING_PIECES_PER_TURN, FRAMING_BYTES_PER_BODY_BYTE, HEAD_PIECE_BYTES, MAX_CHUNK_LINE_BYTES, MAX_FRAMING_BYTES, MAX_HEAD_BYTES, MAX_HEAD_LINES, MAX_HEAD_MS,
	MAX_INFORMATIONAL_ANSWERS,
} from './connection-limits.js';
import {isMalformed, isStatus, MalformedAnswerError} from './malformed-answer.js';
import {resetWhile} from './reset-connection.js';
import {TurnQueue} from './turn-queue.js';

/** Message of undici's error for an answer that no request waits for. */
const UNSOLICITED_ANSWER_MESSAGE = 'bad response';

/** Reads of framing by all connections of this process. */
const framingTurns = new TurnQueue({perTurn: FRAMING_PIECES_PER_TURN});

const LINE_FEED = 0x0A;

const countLines = (bytes: Uint8Array): number => {
	let count = 0;
	for (let index = bytes.indexOf(LINE_FEED); index !== -1; index = bytes.indexOf(LINE_FEED, index + 1)) {
		count++;
	}

	return count;
};

/** What may arrive on the connection next. `over`: nothing is counted, because a send failed and the connection is being closed. */
type Phase = 'idle' | 'head' | 'body' | 'over';

/** Counts the bytes that one connection receives, for one answer at a time. Positions are in bytes since the connection was opened. */
export class ConnectionWatch {
	readonly #onExtraBytes: (label: string) => void;
	#socket: Socket | undefined;
	#phase: Phase = 'idle';
	#label = '';

	/** Requests that the connection has carried. */
	#requests = 0;

	/** Position at the start of the phase. */
	#phaseStartPosition = 0;
	#informationalCount = 0;

	/** Position after the latest informational (1xx) answer, where the next head starts. */
	#headStartPosition = 0;
	#bodyBytes = 0;

	/** Position after the latest body data, and the time at which other bytes began to follow it. */
	#lastBodyPosition = 0;
	#framingStartedAt: number | undefined;
	#headTimer: NodeJS.Timeout | undefined;
	#hasFailed = false;

	/** What the parser has read last, and from which position on, while none of it was body data. */
	#pieceWithoutBody: {readonly bytes: Uint8Array; readonly position: number} | undefined;

	/** Lines of all such bytes since the last body data. */
	#lines = 0;

	/** Body data in the piece that was read last. */
	#pieceBodyBytes = 0;

	/** @param onExtraBytes called when bytes follow a complete answer, with the label of its send; the connection is closed */
	constructor(onExtraBytes: (label: string) => void = () => undefined) {
		this.#onExtraBytes = onExtraBytes;
	}

	/** Whether the connection carried a request before the present one. */
	get isReused(): boolean {
		return this.#requests > 1;
	}

	/**
	Whether the connection has failed. This is known before undici closes it: until then, undici would report an answer without
	content-length as complete although it was truncated.
	*/
	get hasFailed(): boolean {
		return this.#hasFailed;
	}

	watch(socket: Socket): void {
		this.#socket = socket;
		this.#requests = 0;
		this.#hasFailed = false;
		this.#watchFailure(socket);
		resetWhile(socket, () => this.#phase !== 'idle' && socket === this.#socket);
		this.#enterPhase('idle');
		this.#readInPieces(socket);
		// Runs after the parser has read the bytes.
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
		this.#requests++;
		this.#enterPhase('head');
		this.#informationalCount = 0;
	}

	recordHead(status: number): void {
		clearTimeout(this.#headTimer);
		this.#headTimer = undefined;
		if (!isStatus(status)) {
			// A sound head that follows on the same connection would be taken for the answer.
			this.#fail(`the answer has status ${status}`);
		} else if (status >= 200) {
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
		this.#pieceBodyBytes += bytes;
		this.#pieceWithoutBody = undefined;
		this.#lines = 0;
		this.#lastBodyPosition = this.#bytesRead;
		this.#framingStartedAt = undefined;
	}

	end(): void {
		this.#enterPhase('idle');
	}

	/** Closes the connection. The send in progress fails with the reason. */
	abort(reason: Error): void {
		this.#socket?.destroy(reason);
	}

	/** Stops counting after a failed send, whose connection is closed. */
	abandon(): void {
		this.#enterPhase('over');
	}

	/** Bytes that the parser has read. */
	get #bytesRead(): number {
		return this.#socket ? this.#socket.bytesRead - this.#socket.readableLength : 0;
	}

	#enterPhase(phase: Phase): void {
		clearTimeout(this.#headTimer);
		this.#headTimer = undefined;
		this.#phase = phase;
		this.#pieceWithoutBody = undefined;
		this.#lines = 0;
		this.#phaseStartPosition = this.#bytesRead;
		this.#headStartPosition = this.#phaseStartPosition;
	}

	#readInPieces(socket: Socket): void {
		const read = socket.read.bind(socket) as (size?: number) => Uint8Array | null; // eslint-disable-line @typescript-eslint/no-restricted-types
		let lastPosition = 0;
		let isYielding = false;
		socket.read = requestedSize => {
			// The stream itself asks for 0 bytes to start another read of the socket.
			if (requestedSize !== undefined) {
				return read(requestedSize);
			}

			this.#checkLines();
			this.#check(socket);
			if (socket.destroyed || isYielding) {
				return null;
			}

			const position = this.#bytesRead;
			const isMostlyBody = this.#pieceBodyBytes * 4 > (position - lastPosition) * 3;
			if (!isMostlyBody && position - lastPosition >= HEAD_PIECE_BYTES) {
				// Framing is far more work than body data, so other connections get their turn after each piece of it.
				isYielding = true;
				lastPosition = position;
				framingTurns.add(() => {
					isYielding = false;
					socket.emit('readable');
				});
				return null;
			}

			lastPosition = position;
			this.#pieceBodyBytes = 0;
			const size = Math.min(socket.readableLength, isMostlyBody ? BODY_PIECE_BYTES : HEAD_PIECE_BYTES);
			const bytes = size > 0 ? read(size) : read();
			this.#pieceWithoutBody = bytes ? {bytes, position} : undefined;
			return bytes;
		};
	}

	#checkLines(): void {
		if (!this.#pieceWithoutBody || this.#phase === 'over') {
			return;
		}

		// A paused parser puts back what it has not handled.
		const {bytes, position} = this.#pieceWithoutBody;
		this.#lines += countLines(bytes.subarray(0, this.#bytesRead - position));
		this.#pieceWithoutBody = undefined;
		if (this.#lines > MAX_HEAD_LINES) {
			this.#fail(`more than ${MAX_HEAD_LINES} header lines`);
		}
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

	#watchFailure(socket: Socket): void {
		const fail = (): void => {
			this.#hasFailed ||= socket === this.#socket;
		};

		socket.once('error', fail);
		socket.once('end', () => {
			// When data and a reset arrive together, the stream ends without an error, but the socket has no remote address any more.
			if (socket.remoteAddress === undefined) {
				fail();
			}
		});
	}

	#checkHead(bytes: number): void {
		if (bytes > MAX_HEAD_BYTES) {
			this.#fail(`the answer's head is not complete after ${MAX_HEAD_BYTES} bytes`);
		} else if (this.#bytesRead > this.#headStartPosition) {
			this.#headTimer ??= setTimeout(this.#onHeadTimeout, MAX_HEAD_MS);
		}
	}

	readonly #onHeadTimeout = (): void => {
		const timer = this.#headTimer;
		// If this process was paused, the rest of the head may have arrived in the meantime: read it before giving up.
		setImmediate(() => {
			if (timer === this.#headTimer) {
				this.#fail(`the answer's head is not complete ${MAX_HEAD_MS} ms after its first byte`);
			}
		});
	};

	#checkFraming(bytes: number): void {
		if (bytes - this.#bodyBytes > MAX_FRAMING_BYTES + (this.#bodyBytes * FRAMING_BYTES_PER_BODY_BYTE)) {
			this.#fail(`too much chunk framing: ${bytes} bytes carry only ${this.#bodyBytes} bytes of body`);
			return;
		}

		const now = performance.now();
		this.#framingStartedAt ??= now;
		if (this.#bytesRead - this.#lastBodyPosition > MAX_CHUNK_LINE_BYTES && now - this.#framingStartedAt > MAX_HEAD_MS) {
			this.#fail(`the bytes received in ${MAX_HEAD_MS} ms carry no body data`);
		}
	}

	#fail(detail: string): void {
		this.abort(new MalformedAnswerError(detail));
	}
}
