/**
Recognises requests that crash each upstream that runs them.

When an upstream dies, the requests that this entry had there are suspects. A request that was there at an earlier death
takes the blame alone; otherwise all of them are noted. Entries share the counts through the platform's store.
*/
import {createHash} from 'node:crypto';
import type {Clock, Log} from '@yuccawood/common';
import {CRASHES_BEFORE_REJECTION} from '@yuccawood/dispatch';
import {CRASH_WINDOW_MS} from './constants.js';

/** Time for which a suspicion is kept. */
const CRASH_COUNT_LIFETIME_MS = 600_000;
const MAX_SUSPECTS = 10_000;

/** Upstreams whose connections break at the same time from which on the network is to blame, not a request. */
const NETWORK_FAILURE_UPSTREAMS = 3;

/** Identifies the same request in a later attempt: method, path, account and body. */
export const fingerprintOf = ({method, path, account, body}: {
	readonly method: string;
	readonly path: string;
	readonly account: string | undefined;
	readonly body: Uint8Array | undefined;
}): string => {
	const digest = createHash('sha1').update(`${method} ${path} ${account ?? ''}\n`);
	if (body) {
		digest.update(body);
	}

	return digest.digest('base64url');
};

type SuspectedCrash = {readonly at: number; readonly fingerprints: Set<string>; breaks: number; survivors: number};

export type CrashWatchOptions = {
	readonly clock: Clock;
	readonly log: Log;

	/** Counts that entries share. */
	readonly sharedCounts: () => ReadonlyMap<string, number>;
	readonly shareCount: (fingerprint: string, crashes: number) => void;
};

export class CrashWatch {
	readonly #options: CrashWatchOptions;
	readonly #log: Log;
	readonly #ownCounts = new Map<string, {crashes: number; at: number}>();
	readonly #suspectedCrashes = new Map<string, SuspectedCrash>();

	/** Time of the last break of all connections, by upstream. */
	readonly #lastBreakAt = new Map<string, number>();

	constructor(options: CrashWatchOptions) {
		this.#options = options;
		this.#log = options.log.part('crashes');
	}

	isRejected(fingerprint: string): boolean {
		return this.crashesOf(fingerprint) >= CRASHES_BEFORE_REJECTION;
	}

	crashesOf(fingerprint: string): number {
		return Math.max(this.#ownCounts.get(fingerprint)?.crashes ?? 0, this.#options.sharedCounts().get(fingerprint) ?? 0);
	}

	/**
	Notes that the connection of a request broke while the upstream may have been running it.

	@param remaining requests of this entry that are still at the upstream
	*/
	recordBrokenConnection(upstreamKey: string, fingerprint: string, remaining: number): void {
		const now = this.#options.clock.monotonic();
		const known = this.#suspectedCrashes.get(upstreamKey);
		const death = known && now - known.at <= CRASH_WINDOW_MS
			? known
			: {
				at: now, fingerprints: new Set<string>(), breaks: 0, survivors: remaining,
			};
		death.fingerprints.add(fingerprint);
		death.breaks++;
		death.survivors = remaining;
		if (death !== known) {
			this.#suspectedCrashes.set(upstreamKey, death);
			setTimeout(() => {
				this.#suspectedCrashes.delete(upstreamKey);
				this.#attributeCrash(upstreamKey, death);
			}, CRASH_WINDOW_MS).unref();
		}
	}

	/**
	A death breaks every connection; a single broken one among others says nothing about the upstream. Breaks at many
	upstreams at the same time come from the network or from this VM.
	*/
	#attributeCrash(upstreamKey: string, {at, fingerprints, survivors}: SuspectedCrash): void {
		const now = this.#options.clock.monotonic();
		this.#lastBreakAt.set(upstreamKey, at);
		for (const [key, brokeAt] of this.#lastBreakAt) {
			if (now - brokeAt > CRASH_WINDOW_MS * 2) {
				this.#lastBreakAt.delete(key);
			}
		}

		const upstreams = new Set([...this.#lastBreakAt.keys(), ...this.#suspectedCrashes.keys()]);
		if (survivors > 0 || upstreams.size >= NETWORK_FAILURE_UPSTREAMS) {
			return;
		}

		const known = [...fingerprints].filter(fingerprint => this.crashesOf(fingerprint) > 0);
		const blamed = known.length > 0 ? known : [...fingerprints];
		for (const fingerprint of blamed) {
			const crashes = this.crashesOf(fingerprint) + 1;
			this.#storeCount(fingerprint, crashes);
			if (crashes >= 2) {
				this.#log.warn('A request was at several upstreams when they died.', {fingerprint, crashes, upstream: upstreamKey});
				this.#options.shareCount(fingerprint, crashes);
			}
		}
	}

	#storeCount(fingerprint: string, crashes: number): void {
		const now = this.#options.clock.monotonic();
		this.#ownCounts.delete(fingerprint);
		this.#ownCounts.set(fingerprint, {crashes, at: now});
		for (const [key, {at}] of this.#ownCounts) {
			if (this.#ownCounts.size <= MAX_SUSPECTS && now - at <= CRASH_COUNT_LIFETIME_MS) {
				return;
			}

			this.#ownCounts.delete(key);
		}
	}
}
