import type {Writable} from 'node:stream';
import winston from 'winston';

export type LogFields = Readonly<Record<string, unknown>>;

/** Log of one part of a process. Every line contains the name of the part. */
export interface Log {
	readonly debug: (message: string, fields?: LogFields) => void;
	readonly info: (message: string, fields?: LogFields) => void;
	readonly warn: (message: string, fields?: LogFields) => void;
	readonly error: (message: string, fields?: LogFields) => void;

	/** Records a change for the audit trail. It is written at every log level. */
	readonly audit: (message: string, fields?: LogFields) => void;

	/** Creates a log for another part with the same destination, level and format. */
	readonly part: (prefix: string) => Log;
}

export type LogOptions = {
	/** Name of the part; `process` by default. */
	readonly prefix?: string;
	readonly format?: 'json' | 'text';
	readonly level?: 'debug' | 'info' | 'warn' | 'error';

	/** Fields added to every line, for example the id of the process. */
	readonly fields?: LogFields;

	/** Stream that lines are written to; standard error by default. */
	readonly destination?: Writable;
};

/** Levels of the logger, most important first. `audit` comes before `error`, so no log level suppresses it. */
const LEVELS = {
	audit: 0, error: 1, warn: 2, info: 3, debug: 4,
};

const textLine = winston.format.printf(({timestamp, level, part, message, ...fields}) => {
	const rest = Object.keys(fields).length === 0 ? '' : ` ${JSON.stringify(fields)}`;
	return `${String(timestamp)} ${level} ${String(part)}: ${String(message)}${rest}`;
});

const createPartLog = (logger: winston.Logger, prefix: string): Log => {
	const write = (level: string) => (message: string, fields: LogFields = {}): void => {
		logger.log({
			...fields, level, message, part: prefix,
		});
	};

	return {
		debug: write('debug'),
		info: write('info'),
		warn: write('warn'),
		error: write('error'),
		audit: write('audit'),
		part: other => createPartLog(logger, other),
	};
};

/** Creates a log. It writes to standard error by default, because standard output is for results. */
export const createLog = ({prefix = 'process', format = 'text', level = 'info', fields = {}, destination}: LogOptions = {}): Log => {
	const line = format === 'json' ? winston.format.json() : textLine;
	const logger = winston.createLogger({
		levels: LEVELS,
		level,
		defaultMeta: fields,
		format: winston.format.combine(winston.format.timestamp(), line),
		transports: [destination ? new winston.transports.Stream({stream: destination}) : new winston.transports.Console({stderrLevels: Object.keys(LEVELS)})],
	});
	return createPartLog(logger, prefix);
};

const discard = (): void => {
	// Intentionally empty.
};

/** A log that writes nothing, for tests. */
export const SILENT_LOG: Log = {
	debug: discard, info: discard, warn: discard, error: discard, audit: discard, part: () => SILENT_LOG,
};
