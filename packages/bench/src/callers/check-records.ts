/** Compares what callers saw with what the plain services ran. */
import type {CallRecord} from './types.js';

/** One line of a stand-in's log. */
export type ServiceRun = {
	readonly event: string;
	readonly requestId?: string;
	readonly idempotencyKey?: string;
};

export type Violations = {
	/** Calls with an idempotency key that were run more than once. */
	readonly duplicates: number;

	/** Answers that were partial, mixed or of another request. */
	readonly crossed: number;

	/** Calls that a caller was told were not run, but were. */
	readonly falseNotRun: number;

	/** Calls answered as completed that no service ran. */
	readonly lost: number;
};

/** Runs by idempotency key that stand more than once, for the trace of a violation. */
export const duplicateKeys = (runs: readonly ServiceRun[]): readonly string[] => {
	const counts = new Map<string, number>();
	for (const {event, idempotencyKey = ''} of runs) {
		if (event === 'run' && idempotencyKey !== '') {
			counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1);
		}
	}

	return [...counts].filter(([, count]) => count > 1).map(([key]) => key);
};

export const checkRecords = (records: readonly CallRecord[], runs: readonly ServiceRun[]): Violations => {
	const ranIds = new Set(runs.filter(({event}) => event === 'run').map(({requestId}) => requestId));
	const ranKeys = new Set(runs.filter(({event}) => event === 'run').map(({idempotencyKey}) => idempotencyKey));
	const orders = records.filter(({kind}) => kind === 'order');
	return {
		duplicates: duplicateKeys(runs).length,
		crossed: records.filter(({result}) => result === 'wrong').length,
		falseNotRun: orders.filter(({result, requestId}) => result === 'not-run' && requestId !== undefined && ranIds.has(requestId)).length,
		lost: orders.filter(({result, key}) => (result === 'answered' || result === 'completed') && !ranKeys.has(key)).length,
	};
};
