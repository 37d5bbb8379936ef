/** HTTP client for the platform's services. It returns failures as typed errors. */
import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {
	createGuardedClient, describeError, Err, Ok,
} from '@yuccawood/common';
import {CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES, MIN_PROGRESS_BYTES} from './constants.js';
import {PlatformError, type PlatformErrorKind} from './errors.js';
import type {Outcome} from './types.js';
import {FAILURE_STATUS, type FailureBody} from './wire.js';

export type CallOptions = {
	readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
	readonly body?: Uint8Array | string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly timeoutMs?: number;

	/** Restarts the time limit after each {@link MIN_PROGRESS_BYTES} of the response body. */
	readonly isIdleTimeout?: boolean;

	/** Time limit for each {@link MIN_PROGRESS_BYTES} of the response body. Once the headers have arrived, it replaces the time limit of the call. */
	readonly idleTimeoutMs?: number;

	/** Called when the response headers have arrived, and after each {@link MIN_PROGRESS_BYTES} of the body. */
	readonly onProgress?: () => void;
	readonly signal?: AbortSignal;
};

export type HttpResponse = {
	readonly status: number;
	readonly bytes: Uint8Array;

	/** By lower-case name. */
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;

	/** Time from the response headers to the last byte of the body, in milliseconds. */
	readonly transferMs: number;
};

/** Error codes of a failed connection attempt: the request was not sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_DESTROYED', 'UND_ERR_CLOSED']);

/** Pool of connections to one address of the platform. */
export class HttpClient {
	readonly #address: string;
	readonly #timeoutMs: number;
	readonly #connections: number | undefined;

	/** The present pool and those whose last calls are still in progress. */
	readonly #openPools = new Set<Pool>();
	#pool: Pool;
	#openedConnections = 0;

	constructor({address, timeoutMs, connections}: {
		readonly address: string;
		readonly timeoutMs: number;

		/** Maximum number of simultaneous connections; further calls wait. Unlimited if absent. */
		readonly connections?: number;
	}) {
		this.#address = address;
		this.#timeoutMs = timeoutMs;
		this.#connections = connections;
		this.#pool = this.#openPool();
	}

	/** Number of connections that were opened so far. */
	get openedConnections(): number {
		return this.#openedConnections;
	}

	/** Makes all later calls on new connections. Calls in progress go on. */
	renewConnections(): void {
		void this.#retire(this.#pool);
		this.#pool = this.#openPool();
	}

	/** Makes one call. @returns the response body, `undefined` for status 204; error for a status of 300 and above */
	async call(path: string, options: CallOptions = {}): Outcome<Uint8Array | undefined> {
		const response = await this.request(path, options);
		return response.andThen(({status, bytes}) => resultOfStatus({
			status, bytes, subject: `${options.method ?? 'GET'} ${path} at ${this.#address}`, mayHaveEffect: (options.method ?? 'GET') !== 'GET',
		}));
	}

	/** Makes one call. @returns the response, whatever its status */
	async request(path: string, {method = 'GET', body, headers, timeoutMs = this.#timeoutMs, isIdleTimeout = false, idleTimeoutMs, onProgress, signal}: CallOptions = {}): Outcome<HttpResponse> {
		const subject = `${method} ${path} at ${this.#address}`;
		const aborter = new AbortController();
		const expire = (milliseconds: number): void => {
			aborter.abort(new Error(`no answer within ${milliseconds} ms`));
		};

		const cancel = (): void => {
			aborter.abort(new Error('the call was cancelled'));
		};

		if (signal?.aborted) {
			return Err(new PlatformError({kind: 'unavailable', detail: `${subject} was cancelled before it was sent.`, remedy: 'Repeat the call if it is still needed.'}));
		}

		let timer = setTimeout(expire, timeoutMs, timeoutMs);
		signal?.addEventListener('abort', cancel, {once: true});
		try {
			const response = await this.#pool.request({
				path, method, body, headers, signal: aborter.signal,
			});
			const headersAt = performance.now();
			onProgress?.();
			if (idleTimeoutMs !== undefined) {
				clearTimeout(timer);
				timer = setTimeout(expire, idleTimeoutMs, idleTimeoutMs);
			}

			const bytes = await readBody(response.body, () => {
				onProgress?.();
				if (isIdleTimeout || idleTimeoutMs !== undefined) {
					timer.refresh();
				}
			});

			return Ok({
				status: response.statusCode, bytes, headers: response.headers, transferMs: performance.now() - headersAt,
			});
		} catch (error) {
			return Err(errorWithoutResponse(error, subject, method !== 'GET'));
		} finally {
			clearTimeout(timer);
			signal?.removeEventListener('abort', cancel);
		}
	}

	/** Makes one call whose response body is JSON; `value`, if present, is sent as JSON. The type of the response is not checked. */
	async json<Value>(path: string, options?: CallOptions & {readonly value?: unknown}): Outcome<Value> {
		const body = options?.value === undefined ? options?.body : JSON.stringify(options.value);
		const response = await this.call(path, {...options, body});
		return response.andThen(bytes => parseJson<Value>(bytes, path, options?.method ?? 'GET'));
	}

	/** Closes all connections; calls in progress fail. */
	async close(): Promise<void> {
		await Promise.all([...this.#openPools].map(async pool => pool.destroy()));
	}

	/** Closes a pool after its last call. */
	async #retire(pool: Pool): Promise<void> {
		await pool.close();
		this.#openPools.delete(pool);
	}

	#openPool(): Pool {
		// The timeouts of undici have a granularity of one second, so this class uses timers of its own.
		const pool = new Pool(`http://${this.#address}`, {
			connections: this.#connections ?? null, factory: createGuardedClient, connect: {timeout: CONNECT_TIMEOUT_MS}, headersTimeout: 0, bodyTimeout: 0,
		});
		pool.on('connect', () => {
			this.#openedConnections++;
		});
		this.#openPools.add(pool);
		return pool;
	}
}

/** @param onProgress called after each {@link MIN_PROGRESS_BYTES} of the body */
const readBody = async (body: AsyncIterable<Uint8Array>, onProgress: () => void): Promise<Uint8Array> => {
	const parts: Uint8Array[] = [];
	let size = 0;
	let reportedSize = 0;
	for await (const part of body) {
		size += part.byteLength;
		if (size > MAX_RESPONSE_BYTES) {
			throw new Error(`the answer exceeds ${MAX_RESPONSE_BYTES} bytes`);
		}

		parts.push(part);
		if (size - reportedSize >= MIN_PROGRESS_BYTES) {
			reportedSize = size;
			onProgress();
		}
	}

	return Buffer.concat(parts, size);
};

const parseJson = <Value>(bytes: Uint8Array | undefined, path: string, method: string) => {
	try {
		return Ok((bytes === undefined ? undefined : JSON.parse(new TextDecoder().decode(bytes))) as Value);
	} catch (error) {
		return Err(new PlatformError({
			kind: method === 'GET' ? 'rejected' : 'unknown-outcome', detail: `The answer to ${path} is not JSON.`, remedy: 'Check that the address belongs to this service.', cause: error,
		}));
	}
};

/** Error of a call without a complete response: `unknown-outcome` if it may have had an effect, `unavailable` if it was a GET or was not sent. */
const errorWithoutResponse = (error: unknown, subject: string, mayHaveEffect: boolean): PlatformError => {
	const code = (error as {readonly code?: string}).code ?? '';
	const isSent = !NOT_SENT_CODES.has(code);
	return new PlatformError({
		kind: isSent && mayHaveEffect ? 'unknown-outcome' : 'unavailable',
		detail: `${subject} failed: ${describeError(error)}.`,
		remedy: isSent && mayHaveEffect ? 'Read back whether it took effect before it is repeated.' : 'Repeat the call later.',
		cause: error,
	});
};

const resultOfStatus = ({status, bytes, subject, mayHaveEffect}: {
	readonly status: number;
	readonly bytes: Uint8Array;
	readonly subject: string;
	readonly mayHaveEffect: boolean;
}) => {
	if (status === 204) {
		return Ok(undefined);
	}

	if (status >= 200 && status < 300) {
		return Ok(bytes);
	}

	return Err(errorOfStatus({
		status, bytes, subject, mayHaveEffect,
	}));
};

const errorOfStatus = ({status, bytes, subject, mayHaveEffect}: {
	readonly status: number;
	readonly bytes: Uint8Array;
	readonly subject: string;
	readonly mayHaveEffect: boolean;
}): PlatformError => {
	const text = new TextDecoder().decode(bytes.subarray(0, 2000));
	const failure = parseFailureBody(text);
	if (failure) {
		return new PlatformError({...failure, detail: `${subject}: ${failure.detail}`});
	}

	const kinds = Object.entries(FAILURE_STATUS) as ReadonlyArray<readonly [PlatformErrorKind, number]>;
	const kindOfStatus = kinds.find(([, other]) => other === status)?.[0];
	const fallback = status >= 500 && mayHaveEffect ? 'unknown-outcome' : 'rejected';
	return new PlatformError({kind: kindOfStatus ?? fallback, detail: `${subject} was answered with status ${status}: ${text}.`, remedy: 'Check the address and the version of the service.'});
};

/** @returns `undefined` if the text is not the JSON of a failure with a known kind */
const parseFailureBody = (text: string): FailureBody | undefined => {
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
