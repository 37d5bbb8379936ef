/**
Recognises requests that crash each upstream that runs them.

When an upstream dies, the requests that this entry had there are suspects. A request that was there at an earlier death
takes the blame alone; otherwise all of them are noted. Entries share the counts through the platform's store.
*/
import {createHash} from 'node:crypto';
import type {Clock, Log} from '@yuccawood/common';
import {CRASHES_BEFORE_REJECTION} from '@yuccawood/dispatch';
import {DEATH_WINDOW_MS} from './constants.js';

/** Time for which a suspicion is kept. */
const SUSPICION_LIFE_MS = 600_000;
const MAX_SUSPECTS = 10_000;

/** Upstreams whose connections break at the same time from which on the network is to blame, not a request. */
const NETWORK_BREAKS = 3;

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

type Death = {readonly at: number; readonly fingerprints: Set<string>; breaks: number; survivors: number};

export type CrashWatchOptions = {
	readonly clock: Clock;
	readonly log: Log;

	/** Counts that entries share. */
	readonly shared: () => ReadonlyMap<string, number>;
	readonly share: (fingerprint: string, crashes: number) => void;
};

export class CrashWatch {
	readonly #options: CrashWatchOptions;
	readonly #log: Log;
	readonly #own = new Map<string, {crashes: number; at: number}>();
	readonly #breaks = new Map<string, Death>();

	/** Time of the last break of all connections, by upstream. */
	readonly #lastBreaks = new Map<string, number>();

	constructor(options: CrashWatchOptions) {
		this.#options = options;
		this.#log = options.log.part('crashes');
	}

	isRejected(fingerprint: string): boolean {
		return this.crashesOf(fingerprint) >= CRASHES_BEFORE_REJECTION;
	}

	crashesOf(fingerprint: string): number {
		return Math.max(this.#own.get(fingerprint)?.crashes ?? 0, this.#options.shared().get(fingerprint) ?? 0);
	}

	/**
	Notes that the connection of a request broke while the upstream may have been running it.

	@param remaining requests of this entry that are still at the upstream
	*/
	noteBreak(upstreamKey: string, fingerprint: string, remaining: number): void {
		const now = this.#options.clock.monotonic();
		const known = this.#breaks.get(upstreamKey);
		const death = known && now - known.at <= DEATH_WINDOW_MS
			? known
			: {
				at: now, fingerprints: new Set<string>(), breaks: 0, survivors: remaining,
			};
		death.fingerprints.add(fingerprint);
		death.breaks++;
		death.survivors = remaining;
		if (death !== known) {
			this.#breaks.set(upstreamKey, death);
			setTimeout(() => {
				this.#breaks.delete(upstreamKey);
				this.#judge(upstreamKey, death);
			}, DEATH_WINDOW_MS).unref();
		}
	}

	/**
	A death breaks every connection; a single broken one among others says nothing about the upstream. Breaks at many
	upstreams at the same time come from the network or from this VM.
	*/
	#judge(upstreamKey: string, {at, fingerprints, survivors}: Death): void {
		const now = this.#options.clock.monotonic();
		this.#lastBreaks.set(upstreamKey, at);
		for (const [key, brokeAt] of this.#lastBreaks) {
			if (now - brokeAt > DEATH_WINDOW_MS * 2) {
				this.#lastBreaks.delete(key);
			}
		}

		const upstreams = new Set([...this.#lastBreaks.keys(), ...this.#breaks.keys()]);
		if (survivors > 0 || upstreams.size >= NETWORK_BREAKS) {
			return;
		}

		const known = [...fingerprints].filter(fingerprint => this.crashesOf(fingerprint) > 0);
		const blamed = known.length > 0 ? known : [...fingerprints];
		for (const fingerprint of blamed) {
			const crashes = this.crashesOf(fingerprint) + 1;
			this.#remember(fingerprint, crashes);
			if (crashes >= 2) {
				this.#log.warn('A request was at several upstreams when they died.', {fingerprint, crashes, upstream: upstreamKey});
				this.#options.share(fingerprint, crashes);
			}
		}
	}

	#remember(fingerprint: string, crashes: number): void {
		const now = this.#options.clock.monotonic();
		this.#own.delete(fingerprint);
		this.#own.set(fingerprint, {crashes, at: now});
		for (const [key, {at}] of this.#own) {
			if (this.#own.size <= MAX_SUSPECTS && now - at <= SUSPICION_LIFE_MS) {
				return;
			}

			this.#own.delete(key);
		}
	}
}
