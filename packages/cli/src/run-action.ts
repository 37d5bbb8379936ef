import {InvalidArgumentError} from 'commander';
import type {Context} from './context.js';

/** File and section that an edit came from. */
export type Place = {readonly file: string; readonly section?: string};

/** Runs an action with its context and reports its errors. The place is where the faults of an edit are. */
export type RunAction = (action: (context: Context) => Promise<void>, place?: Place) => Promise<void>;

/** Value of an option that takes a whole number. */
export const wholeNumber = (text: string): number => {
	if (!/^\d+$/.test(text)) {
		throw new InvalidArgumentError('Give a whole number.');
	}

	return Number(text);
};

/** Value of an option that takes a duration in seconds. */
export const seconds = (text: string): number => {
	const value = Number(text);
	if (!(value > 0)) {
		throw new InvalidArgumentError('Give seconds above 0.');
	}

	return value;
};
