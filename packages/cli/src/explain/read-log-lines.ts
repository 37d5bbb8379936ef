/** Reads the JSON lines of logs; a prefix that a collector put before the object is passed over. */
import type {LogLine, LogText} from './types.js';

export type ReadLog = {
	readonly lines: readonly LogLine[];

	/** Lines that are no log lines of entries or agents. */
	readonly skipped: number;
};

const parseLine = (text: string, name: string): LogLine | undefined => {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	let parsed: Readonly<Record<string, unknown>>;
	try {
		parsed = JSON.parse(text.slice(start)) as Readonly<Record<string, unknown>>;
	} catch {
		return undefined;
	}

	const {timestamp, part, message, vm, level, ...fields} = parsed;
	const at = typeof timestamp === 'string' ? Date.parse(timestamp) : Number.NaN;
	if (typeof part !== 'string' || typeof message !== 'string' || Number.isNaN(at)) {
		return undefined;
	}

	return {
		source: typeof vm === 'string' ? vm : name, at, part, message, fields,
	};
};

/** @returns the lines of all logs in order of time */
export const readLogLines = (logs: readonly LogText[]): ReadLog => {
	const lines: LogLine[] = [];
	let skipped = 0;
	for (const {name, text} of logs) {
		for (const raw of text.split('\n')) {
			if (raw.trim() === '') {
				continue;
			}

			const line = parseLine(raw, name);
			if (line) {
				lines.push(line);
			} else {
				skipped++;
			}
		}
	}

	return {lines: lines.toSorted((a, b) => a.at - b.at), skipped};
};
