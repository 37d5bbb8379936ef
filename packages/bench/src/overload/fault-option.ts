/** Parses the faults of the overload benchmark, as they stand on the command line. */
import type {Fault} from './types.js';

export const FAULT_SYNTAX = 'restart-entries@SECONDS, lose-engines@SECONDS:SHARE:SECONDS, slow-engines@SECONDS:SHARE:FACTOR:SECONDS, load-step@SECONDS:FACTOR:SECONDS';

const NUMBERS: Readonly<Record<Fault['kind'], number>> = {
	'restart-entries': 0, 'lose-engines': 2, 'slow-engines': 3, 'load-step': 2,
};

/** @throws {Error} if the text is no fault */
const parseFault = (text: string): Fault => {
	const [kind, rest = ''] = text.trim().split('@');
	const [at, ...numbers] = rest.split(':').map(part => part === '' ? Number.NaN : Number(part));
	const isValid = Object.hasOwn(NUMBERS, kind) && numbers.length === NUMBERS[kind as Fault['kind']] && [at, ...numbers].every(number => Number.isFinite(number) && number >= 0);
	if (!isValid) {
		throw new Error(`"${text}" is not a fault. Write one of: ${FAULT_SYNTAX}.`);
	}

	const [first, second, third] = numbers;
	const atMs = at * 1000;
	switch (kind as Fault['kind']) {
		case 'restart-entries': {
			return {kind: 'restart-entries', at: atMs};
		}

		case 'lose-engines': {
			return {
				kind: 'lose-engines', at: atMs, share: first, forMs: second * 1000,
			};
		}

		case 'slow-engines': {
			return {
				kind: 'slow-engines', at: atMs, share: first, factor: second, forMs: third * 1000,
			};
		}

		case 'load-step': {
			return {
				kind: 'load-step', at: atMs, factor: first, forMs: second * 1000,
			};
		}
	}
};

/** @throws {Error} if a part of the comma-separated list is no fault */
export const parseFaults = (text: string): readonly Fault[] => text === '' ? [] : text.split(',').map(part => parseFault(part));
