/** `explain REQUEST-ID [FILE...]`: reconstructs the course of one request from the logs of several processes. */
import {readFile} from 'node:fs/promises';
import {CliError} from '../cli-error.js';
import type {Context} from '../context.js';
import {buildTimeline} from './build-timeline.js';
import {readLogLines} from './read-log-lines.js';
import {renderTimeline} from './render-timeline.js';
import type {LogText} from './types.js';

const readLog = async (file: string): Promise<LogText> => {
	try {
		return {name: file, text: await readFile(file, 'utf8')};
	} catch (error) {
		throw new CliError({
			kind: 'usage', detail: `The log ${file} cannot be read: ${(error as Error).message}.`, remedy: 'Name readable files, or give the logs on standard input.', cause: error,
		});
	}
};

const readLogs = async ({terminal}: Context, files: readonly string[]): Promise<readonly LogText[]> => {
	if (files.length > 0) {
		return Promise.all(files.map(async file => readLog(file)));
	}

	const input = await terminal.readInput();
	if (input === undefined) {
		throw new CliError({kind: 'usage', detail: 'No log was given.', remedy: 'Name log files, or give the logs on standard input.'});
	}

	return [{name: 'input', text: input}];
};

export const explainRequest = async (context: Context, requestId: string, files: readonly string[]): Promise<void> => {
	const {lines, skipped} = readLogLines(await readLogs(context, files));
	if (skipped > 0) {
		context.terminal.writeError(`${skipped} line${skipped === 1 ? ' is' : 's are'} no log line of an entry or agent.\n`);
	}

	const timeline = buildTimeline(lines, requestId);
	if (!timeline) {
		throw new CliError({
			kind: 'failure',
			detail: `None of ${lines.length} log lines names request ${requestId}.`,
			remedy: 'Add the logs of the other entries. A request that was placed and delivered at once is logged only if its id is in the sample.',
		});
	}

	context.print(timeline, renderTimeline(timeline));
};
