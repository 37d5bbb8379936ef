import {sha256} from '@yuccawood/common';
import type {ServiceAnswer} from '@yuccawood/stand-ins';
import type {CallRecord} from './types.js';

export type OrderOptions = {
	readonly address: string;
	readonly key: string;
	readonly body: string;
	readonly bearer?: string;
	readonly path?: string;
	readonly timeoutMs?: number;
};

type Problem = {readonly outcome?: string; readonly detail?: string; readonly requestId?: string};

const OUTCOMES: ReadonlySet<string> = new Set(['not-run', 'completed', 'unknown']);

/** Sends one call that may not be repeated, and checks that the answer belongs to it. */
export const callOrder = async ({address, key, body, bearer, path = '/orders/new', timeoutMs = 30_000}: OrderOptions): Promise<CallRecord> => {
	const startedAt = Date.now();
	const start = performance.now();
	const record = (fields: Pick<CallRecord, 'result'> & Partial<CallRecord>): CallRecord => ({
		kind: 'order', key, startedAt, milliseconds: performance.now() - start, ...fields,
	});
	try {
		const response = await fetch(`http://${address}${path}`, {
			method: 'POST',
			headers: {'content-type': 'application/json', 'idempotency-key': key, ...bearer ? {authorization: `Bearer ${bearer}`} : {}},
			body,
			signal: AbortSignal.timeout(timeoutMs),
		});
		const text = await response.text();
		if (response.status !== 200) {
			const {outcome = '', detail, requestId} = JSON.parse(text) as Problem;
			return record({
				result: OUTCOMES.has(outcome) ? outcome as CallRecord['result'] : 'broken', status: response.status, detail, requestId,
			});
		}

		const answer = JSON.parse(text) as ServiceAnswer;
		const isOwn = answer.idempotencyKey === key && answer.bodyHash === sha256(body);
		return record({
			result: isOwn ? 'answered' : 'wrong', status: 200, detail: isOwn ? undefined : text.slice(0, 200), requestId: answer.requestId,
		});
	} catch (error) {
		return record({result: 'broken', detail: String((error as Error).cause ?? error)});
	}
};
