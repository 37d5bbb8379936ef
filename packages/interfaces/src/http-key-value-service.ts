/** HTTP adapter of the key-value service. */
import {Err} from '@yuccawood/common';
import {DEFAULT_CALL_TIMEOUT_MS, WATCH_TIMEOUT_SLACK_MS} from './constants.js';
import {PlatformError} from './errors.js';
import {HttpClient} from './http-client.js';
import type {
	KeyValueEntry, KeyValueService, Lease, Outcome, WriteCondition,
} from './types.js';
import {
	entryPath, ENTRIES_PATH, LEASES_PATH, MAX_VALUE_BYTES,
} from './wire.js';

/** Query string of a conditional write, with its `?`; empty without a condition. */
const conditionQuery = ({expectedVersion, lease}: WriteCondition): string => {
	const query = new URLSearchParams();
	if (expectedVersion !== undefined) {
		query.set('expectedVersion', String(expectedVersion));
	}

	if (lease !== undefined) {
		query.set('lease', lease);
	}

	const text = query.toString();
	return text === '' ? '' : `?${text}`;
};

export class HttpKeyValueService implements KeyValueService {
	readonly #caller: HttpClient;

	constructor({address, timeoutMs = DEFAULT_CALL_TIMEOUT_MS}: {readonly address: string; readonly timeoutMs?: number}) {
		this.#caller = new HttpClient({address, timeoutMs});
	}

	readonly read = async (key: string): Outcome<KeyValueEntry | undefined> => this.#caller.json(entryPath(key));

	readonly write = async (key: string, value: string, condition: WriteCondition = {}): Outcome<number> => {
		const body = new TextEncoder().encode(value);
		if (body.byteLength > MAX_VALUE_BYTES) {
			return Err(new PlatformError({kind: 'too-large', detail: `The value of ${key} has ${body.byteLength} bytes.`, remedy: `Keep values below ${MAX_VALUE_BYTES} bytes.`}));
		}

		const answer = await this.#caller.json<{readonly version: number}>(`${entryPath(key)}${conditionQuery(condition)}`, {method: 'PUT', body});
		return answer.map(({version}) => version);
	};

	readonly remove = async (key: string, condition: WriteCondition = {}): Outcome<void> =>
		this.#caller.json<void>(`${entryPath(key)}${conditionQuery(condition)}`, {method: 'DELETE'});

	readonly list = async (prefix: string): Outcome<readonly KeyValueEntry[]> => this.#caller.json(`${ENTRIES_PATH}?prefix=${encodeURIComponent(prefix)}`);

	readonly watch = async (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Outcome<KeyValueEntry | undefined> =>
		this.#caller.json(`${entryPath(key)}?afterVersion=${afterVersion}&waitMs=${Math.round(timeoutMs)}`, {timeoutMs: timeoutMs + WATCH_TIMEOUT_SLACK_MS, signal});

	readonly grantLease = async (ttlMs: number): Outcome<Lease> => this.#caller.json(LEASES_PATH, {method: 'POST', value: {ttlMs}});

	readonly renewLease = async (id: string): Outcome<number> => {
		const answer = await this.#caller.json<{readonly remainingMs: number}>(`${LEASES_PATH}/${id}/renewal`, {method: 'POST'});
		return answer.map(({remainingMs}) => remainingMs);
	};

	readonly revokeLease = async (id: string): Outcome<void> => this.#caller.json<void>(`${LEASES_PATH}/${id}`, {method: 'DELETE'});

	/** Closes all connections; calls in progress fail. */
	readonly close = async (): Promise<void> => this.#caller.close();
}
