import {InvalidArgumentError} from 'commander';
import type {Context} from './context.js';

/** File that holds the text of an edit, and the edited section, to name them in reports of faults. */
export type EditSource = {readonly file: string; readonly section?: string};

/** Runs an action with a new context and reports its errors. `source` is given for edits. */
export type RunAction = (action: (context: Context) => Promise<void>, source?: EditSource) => Promise<void>;

/** Parses an option that takes a whole number. */
export const parseWholeNumber = (text: string): number => {
	if (!/^\d+$/.test(text)) {
		throw new InvalidArgumentError('Give a whole number.');
	}

	return Number(text);
};

/** Parses an option that takes a duration in seconds. */
export const parseSeconds = (text: string): number => {
	const value = Number(text);
	if (!(value > 0)) {
		throw new InvalidArgumentError('Give seconds above 0.');
	}

	return value;
};
