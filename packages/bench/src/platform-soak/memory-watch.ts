/** Resident memory of the processes, as the kernel tells it. */
import {readFile} from 'node:fs/promises';
import type {NodeProcess} from './node-process.js';

const INTERVAL_MS = 200;
const PAGE_BYTES = 4096;
const BYTES_PER_MEGABYTE = 1024 * 1024;

export class MemoryWatch {
	/** Largest resident memory of each process, in megabytes. */
	readonly peaks = new Map<NodeProcess, number>();
	readonly #timer: NodeJS.Timeout;

	constructor(processes: () => readonly NodeProcess[]) {
		this.#timer = setInterval(() => {
			for (const node of processes()) {
				void this.#measure(node);
			}
		}, INTERVAL_MS);
	}

	close(): void {
		clearInterval(this.#timer);
	}

	async #measure(node: NodeProcess): Promise<void> {
		const {pid} = node;
		if (pid === undefined) {
			return;
		}

		let text: string;
		try {
			text = await readFile(`/proc/${pid}/statm`, 'utf8');
		} catch {
			// The process has ended meanwhile.
			return;
		}

		const megabytes = Number(text.split(' ')[1]) * PAGE_BYTES / BYTES_PER_MEGABYTE;
		this.peaks.set(node, Math.max(this.peaks.get(node) ?? 0, megabytes));
	}
}
