/** One HTTP call to the platform, with its failures as typed errors. */
import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {describeError, Err, Ok} from '@yuccawood/common';
import {CONNECT_TIMEOUT_MS, MAX_ANSWER_BYTES, MIN_PROGRESS_BYTES} from './constants.js';
import {PlatformError, type PlatformErrorKind} from './errors.js';
import type {Outcome} from './types.js';
import {FAILURE_STATUS, type FailureBody} from './wire.js';

export type CallOptions = {
	readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly body?: Uint8Array | string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly timeoutMs?: number;

	/** Restarts the time limit with each {@link MIN_PROGRESS_BYTES} of the body. */
	readonly isIdleTimeout?: boolean;

	/** Time limit for each {@link MIN_PROGRESS_BYTES} of the body, instead of the time limit of the call, once the head of the answer has arrived. */
	readonly idleTimeoutMs?: number;

	/** Called when the head of the answer has arrived. */
	readonly onHead?: () => void;
	readonly signal?: AbortSignal;
};

export type HttpAnswer = {
	readonly status: number;
	readonly bytes: Uint8Array;

	/** Time from the head of the answer to its last byte, in milliseconds. */
	readonly transferMs: number;
};

/** Errors of the connection attempt. The call was not sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED']);

/** Connections to one address of the platform. */
export class HttpCaller {
	readonly #address: string;
	readonly #timeoutMs: number;
	readonly #pool: Pool;

	constructor({address, timeoutMs, connections}: {
		readonly address: string;
		readonly timeoutMs: number;

		/** Most connections at the same time; calls beyond them wait. Unlimited if absent. */
		readonly connections?: number;
	}) {
		this.#address = address;
		this.#timeoutMs = timeoutMs;
		// The limits of undici have a granularity of one second, so this class keeps its own.
		this.#pool = new Pool(`http://${address}`, {
			connections: connections ?? null, connect: {timeout: CONNECT_TIMEOUT_MS}, headersTimeout: 0, bodyTimeout: 0,
		});
	}

	/** @returns the bytes of the answer, `undefined` for an empty one (204). */
	async call(path: string, options: CallOptions = {}): Outcome<Uint8Array | undefined> {
		const answer = await this.exchange(path, options);
		return answer.andThen(({status, bytes}) => interpret({
			status, bytes, subject: `${options.method ?? 'GET'} ${path} at ${this.#address}`, hasEffect: (options.method ?? 'GET') !== 'GET',
		}));
	}

	/** Makes one call. @returns the answer whatever its status. */
	async exchange(path: string, {method = 'GET', body, headers, timeoutMs = this.#timeoutMs, isIdleTimeout = false, idleTimeoutMs, onHead, signal}: CallOptions = {}): Outcome<HttpAnswer> {
		const subject = `${method} ${path} at ${this.#address}`;
		const limit = new AbortController();
		const expire = (milliseconds: number): void => {
			limit.abort(new Error(`no answer within ${milliseconds} ms`));
		};

		const cancel = (): void => {
			limit.abort(new Error('the call was cancelled'));
		};

		if (signal?.aborted) {
			return Err(new PlatformError({kind: 'unavailable', detail: `${subject} was cancelled before it was sent.`, remedy: 'Repeat the call if it is still needed.'}));
		}

		let timer = setTimeout(expire, timeoutMs, timeoutMs);
		signal?.addEventListener('abort', cancel, {once: true});
		try {
			const response = await this.#pool.request({
				path, method, body, headers, signal: limit.signal,
			});
			const headAt = performance.now();
			onHead?.();
			if (idleTimeoutMs !== undefined) {
				clearTimeout(timer);
				timer = setTimeout(expire, idleTimeoutMs, idleTimeoutMs);
			}

			const bytes = await readAnswer(response.body, () => {
				if (isIdleTimeout || idleTimeoutMs !== undefined) {
					timer.refresh();
				}
			});

			return Ok({status: response.statusCode, bytes, transferMs: performance.now() - headAt});
		} catch (error) {
			return Err(lostAnswer(error, subject, method !== 'GET'));
		} finally {
			clearTimeout(timer);
			signal?.removeEventListener('abort', cancel);
		}
	}

	/** Sends a value as JSON and reads the answer as JSON. */
	async json<Value>(path: string, options?: CallOptions & {readonly value?: unknown}): Outcome<Value> {
		const body = options?.value === undefined ? options?.body : JSON.stringify(options.value);
		const answer = await this.call(path, {...options, body});
		return answer.andThen(bytes => parse<Value>(bytes, path, options?.method ?? 'GET'));
	}

	/** Ends all calls; those in progress fail. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

/** @param onProgress called whenever enough of the body has arrived to count as progress */
const readAnswer = async (body: AsyncIterable<Uint8Array>, onProgress: () => void): Promise<Uint8Array> => {
	const parts: Uint8Array[] = [];
	let size = 0;
	let progressAt = 0;
	for await (const part of body) {
		size += part.byteLength;
		if (size > MAX_ANSWER_BYTES) {
			throw new Error(`the answer exceeds ${MAX_ANSWER_BYTES} bytes`);
		}

		parts.push(part);
		if (size - progressAt >= MIN_PROGRESS_BYTES) {
			progressAt = size;
			onProgress();
		}
	}

	return Buffer.concat(parts, size);
};

const parse = <Value>(bytes: Uint8Array | undefined, path: string, method: string) => {
	try {
		return Ok((bytes === undefined ? undefined : JSON.parse(new TextDecoder().decode(bytes))) as Value);
	} catch (error) {
		return Err(new PlatformError({
			kind: method === 'GET' ? 'rejected' : 'unknown-outcome', detail: `The answer to ${path} is not JSON.`, remedy: 'Check that the address belongs to this service.', cause: error,
		}));
	}
};

/** A call without an effect (GET) that got no answer counts as `unavailable`. */
const lostAnswer = (error: unknown, subject: string, hasEffect: boolean): PlatformError => {
	const code = (error as {readonly code?: string}).code ?? '';
	const isSent = !NOT_SENT_CODES.has(code);
	return new PlatformError({
		kind: isSent && hasEffect ? 'unknown-outcome' : 'unavailable',
		detail: `${subject} failed: ${describeError(error)}.`,
		remedy: isSent && hasEffect ? 'Read back whether it took effect before it is repeated.' : 'Repeat the call later.',
		cause: error,
	});
};

const interpret = ({status, bytes, subject, hasEffect}: {
	readonly status: number;
	readonly bytes: Uint8Array;
	readonly subject: string;
	readonly hasEffect: boolean;
}) => {
	if (status === 204) {
		return Ok(undefined);
	}

	if (status >= 200 && status < 300) {
		return Ok(bytes);
	}

	return Err(failure({
		status, bytes, subject, hasEffect,
	}));
};

const failure = ({status, bytes, subject, hasEffect}: {
	readonly status: number;
	readonly bytes: Uint8Array;
	readonly subject: string;
	readonly hasEffect: boolean;
}): PlatformError => {
	const text = new TextDecoder().decode(bytes.subarray(0, 2000));
	const stated = readFailure(text);
	if (stated) {
		return new PlatformError({...stated, detail: `${subject}: ${stated.detail}`});
	}

	const kinds = Object.entries(FAILURE_STATUS) as ReadonlyArray<readonly [PlatformErrorKind, number]>;
	const known = kinds.find(([, other]) => other === status)?.[0];
	const fallback = status >= 500 && hasEffect ? 'unknown-outcome' : 'rejected';
	return new PlatformError({kind: known ?? fallback, detail: `${subject} was answered with status ${status}: ${text}.`, remedy: 'Check the address and the version of the service.'});
};

const readFailure = (text: string): FailureBody | undefined => {
	try {
		const body = JSON.parse(text) as Partial<FailureBody> | undefined;
		const isFailure = body?.kind !== undefined && Object.hasOwn(FAILURE_STATUS, body.kind);
		return isFailure
			? {
				...body, kind: body.kind, detail: body.detail ?? '', remedy: body.remedy ?? '',
			}
			: undefined;
	} catch {
		return undefined;
	}
};
