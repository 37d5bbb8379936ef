import {Writable} from 'node:stream';

/** Bytes buffered in the target for a slow reader before further lines are dropped. */
const MAX_PENDING_BYTES = 256 * 1024;

/** Writes lines to a target stream without backpressure. Lines that arrive while its buffer is full are dropped and counted. */
export class DroppingOutput extends Writable {
	readonly #target: Writable;
	#dropped = 0;

	constructor(target: Writable) {
		super({decodeStrings: false});
		this.#target = target;
		target.on('error', () => {
			// The reader of the output is gone, for example a closed pipe. The process keeps serving requests without it.
		});
	}

	/** Number of lines dropped since this output was created. */
	get droppedLines(): number {
		return this.#dropped;
	}

	override _write(line: string | Uint8Array, _encoding: BufferEncoding, done: () => void): void {
		if (this.#target.writableLength > MAX_PENDING_BYTES || this.#target.destroyed) {
			this.#dropped++;
		} else {
			this.#target.write(line);
		}

		done();
	}
}
