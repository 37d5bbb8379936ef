/** Claims on idempotency keys in the key-value service. They ensure that a non-repeatable call runs at most once, whichever entries it is sent to. */
import {randomUUID} from 'node:crypto';
import {
	runPeriodically, sha256, type Clock, type Log, type Result,
} from '@yuccawood/common';
import type {KeyValueEntry, KeyValueService, PlatformError} from '@yuccawood/interfaces';
import type {Call} from './call.js';
import {
	CLAIM_REMOVAL_INTERVAL_MS, CLAIM_RETENTION_MS, MAX_CLAIM_WRITES, RETRY_AFTER_SECONDS,
} from './constants.js';
import {RequestError} from './errors.js';
import type {Agent} from './router.js';
import type {Settlement} from './settlement.js';
import type {KeptAnswer} from './types.js';

/** Stored value of a claim: the request that runs under the key, and the agent that it was forwarded to. */
type ClaimValue = {
	/** Unique for each write, so that a writer that got no response recognises its own value. */
	readonly nonce: string;
	readonly requestId: string;
	readonly vm: string;
	readonly address: string;
	readonly incarnation: number;
	readonly fingerprint: string;
};

type StoredClaim = {readonly entry: KeyValueEntry; readonly value: ClaimValue};

export type ClaimsOptions = {
	readonly keyValue: KeyValueService;
	readonly settlement: Settlement;
	readonly clock: Clock;
	readonly log: Log;
};

const createUnavailableError = (cause?: PlatformError): RequestError => new RequestError({
	kind: 'claims-unavailable',
	detail: `The claim on the idempotency key could not be recorded${cause ? ` (${cause.kind})` : ''}.`,
	remedy: 'Send the request again with the same key.',
	retryAfterSeconds: RETRY_AFTER_SECONDS,
	cause,
});

/** Writes claims and removes them after their retention. Claims are not bound to leases, because a lease that expires early would let a call run twice. */
export class Claims {
	readonly #options: ClaimsOptions;
	readonly #stop = new AbortController();

	/** Claims that this entry wrote, oldest first; `at` is the monotonic time in milliseconds. */
	readonly #writtenClaims: Array<{readonly key: string; readonly version: number; readonly at: number}> = [];

	constructor(options: ClaimsOptions) {
		this.#options = options;
	}

	/** Starts the periodic removal of claims that this entry wrote and whose retention has ended. */
	start(): void {
		void runPeriodically(async () => this.#removeExpired(), {
			signal: this.#stop.signal,
			pauseMs: CLAIM_REMOVAL_INTERVAL_MS,
			onError: error => {
				this.#options.log.warn('Removal of old claims failed.', {error});
			},
		});
	}

	close(): void {
		this.#stop.abort();
	}

	/** Creates the claim of one call. Nothing is written before `assign`. */
	begin(call: Call, account: string): Claim {
		const key = `claims/${encodeURIComponent(account)}/${sha256(call.idempotencyKey ?? '')}`;
		return new Claim({
			...this.#options, call, key, onWritten: version => {
				this.#writtenClaims.push({key, version, at: this.#options.clock.monotonic()});
			},
		});
	}

	async #removeExpired(): Promise<void> {
		const {clock, keyValue} = this.#options;
		while (this.#writtenClaims.length > 0 && clock.monotonic() - this.#writtenClaims[0].at >= CLAIM_RETENTION_MS) {
			const {key, version} = this.#writtenClaims.shift()!;
			await keyValue.remove(key, {expectedVersion: version});
		}
	}
}

/** The claim of one call, written before each attempt. */
export class Claim {
	readonly #options: ClaimsOptions & {readonly call: Call; readonly key: string; readonly onWritten: (version: number) => void};

	/** Nonces of all writes of this claim. */
	readonly #nonces = new Set<string>();

	/** Version of the stored claim that the next write expects; 0 when there is none. */
	#version = 0;

	constructor(options: ClaimsOptions & {readonly call: Call; readonly key: string; readonly onWritten: (version: number) => void}) {
		this.#options = options;
	}

	/**
	Writes to the key-value service that the call is about to be forwarded to this agent.

	@returns the answer of an earlier call with the same key, or `undefined` when the call may be forwarded.
	@throws {RequestError} when the call must not be forwarded.
	*/
	async assign(agent: Agent, requestId: string): Promise<KeptAnswer | undefined> {
		for (let i = 0; i < MAX_CLAIM_WRITES; i++) {
			const result = await this.#write(agent, requestId);
			const answer = result === 'held' ? undefined : await this.#resolveConflict(result);
			if (result === 'held' || answer) {
				return answer;
			}
		}

		throw createUnavailableError();
	}

	/** @returns `held` when the claim was written, else the conflicting claim, or `undefined` when it has been removed since. */
	async #write({id, address, incarnation}: Agent, requestId: string): Promise<'held' | StoredClaim | undefined> {
		const {call, keyValue, key} = this.#options;
		const value: ClaimValue = {
			nonce: randomUUID(), requestId, vm: id, address, incarnation, fingerprint: call.fingerprint,
		};
		this.#nonces.add(value.nonce);
		const written = await keyValue.write(key, JSON.stringify(value), {expectedVersion: this.#version});
		if (written.ok) {
			this.#recordWritten(written.val);
			return 'held';
		}

		const conflicting = await this.#readAfterFailedWrite(written);
		if (conflicting?.value.nonce === value.nonce) {
			this.#recordWritten(conflicting.entry.version);
			return 'held';
		}

		return conflicting;
	}

	#recordWritten(version: number): void {
		this.#version = version;
		this.#options.onWritten(version);
	}

	/** Reads the stored claim after a write that conflicted or whose response was lost. */
	async #readAfterFailedWrite(written: Result<number, PlatformError>): Promise<StoredClaim | undefined> {
		const error = written.val as PlatformError;
		if (error.kind !== 'conflict' && error.kind !== 'unknown-outcome') {
			throw createUnavailableError(error);
		}

		const read = await this.#options.keyValue.read(this.#options.key);
		if (read.err) {
			throw createUnavailableError(read.val);
		}

		const entry = read.val;
		return entry && {entry, value: JSON.parse(entry.value) as ClaimValue};
	}

	/** Handles a conflicting claim. @returns the answer of the earlier call; `undefined` when the claim may be overwritten. @throws {RequestError} when the earlier call may have been run and has no answer. */
	async #resolveConflict(conflicting: StoredClaim | undefined): Promise<KeptAnswer | undefined> {
		if (!conflicting) {
			this.#version = 0;
			return undefined;
		}

		const {entry, value} = conflicting;
		if (value.fingerprint !== this.#options.call.fingerprint) {
			throw new RequestError({kind: 'key-reused', detail: 'The idempotency key was used for a different request.', remedy: 'Use a new key for each request.'});
		}

		if (this.#nonces.has(value.nonce)) {
			// This claim was written before an earlier attempt, whose request was not run.
			this.#version = entry.version;
			return undefined;
		}

		const earlier = await this.#options.settlement.fetchAnswer(value, () => 0);
		if ('answer' in earlier && earlier.answer) {
			return earlier.answer;
		}

		if (earlier.state === 'not-run') {
			this.#version = entry.version;
			return undefined;
		}

		throw createEarlierRequestError(earlier.state, value);
	}
}

const createEarlierRequestError = (state: string, {vm}: ClaimValue): RequestError => {
	switch (state) {
		case 'running': {
			return new RequestError({
				kind: 'already-running',
				detail: 'An earlier request with the same key is running.',
				remedy: 'Send the request again later with the same key.',
				outcome: 'unknown',
				retryAfterSeconds: RETRY_AFTER_SECONDS,
			});
		}

		case 'completed': {
			return new RequestError({
				kind: 'answer-lost', detail: 'An earlier request with the same key was completed, but its answer is not available any more.', remedy: 'Do not send it again.', outcome: 'completed',
			});
		}

		default: {
			return new RequestError({
				kind: 'path-failed',
				detail: `An earlier request with the same key was sent to ${vm}, which cannot tell what became of it.`,
				remedy: 'Check whether it took effect before sending it with a new key.',
				outcome: 'unknown',
			});
		}
	}
};
