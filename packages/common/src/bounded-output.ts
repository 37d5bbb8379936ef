/** Writes lines to a stream without ever waiting for it: lines that find a full buffer are dropped and counted. */
import {Writable} from 'node:stream';

/** Bytes that may wait for a slow reader. */
const MAX_PENDING_BYTES = 256 * 1024;

export class BoundedOutput extends Writable {
	readonly #target: Writable;
	#dropped = 0;

	constructor(target: Writable) {
		super({decodeStrings: false});
		this.#target = target;
		target.on('error', () => {
			// Nobody reads the log any more; the process serves on without it.
		});
	}

	/** Lines dropped since the start. */
	get dropped(): number {
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
