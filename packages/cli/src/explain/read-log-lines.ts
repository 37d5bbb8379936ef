/** Parses logs of JSON lines. Text before the JSON object, such as the prefix of a log collector, is ignored. */
import type {LogLine, LogText} from './types.js';

/** Result of parsing logs. */
export type ParsedLogs = {
	readonly lines: readonly LogLine[];

	/** Number of lines that are not log lines of an entry or agent. */
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

/** Parses all logs and sorts their lines by time. */
export const readLogLines = (logs: readonly LogText[]): ParsedLogs => {
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
