/**
Attributes deaths of upstreams to requests, and identifies poison requests: requests that crash the upstreams that run them.

A death means that the upstream's process ended or was replaced, or that its agent can no longer be reached.
*/
import type {Clock} from '@yuccawood/common';
import {MAX_SUSPECTS, QUARANTINE_DEATHS, QUARANTINE_MS} from './constants.js';
import type {DeathReport} from './types.js';

type Death = {
	/** Fingerprints of the requests in progress at the upstream when it died. */
	readonly fingerprints: ReadonlySet<string>;

	/** Fingerprints that the death is attributed to. */
	readonly attributed: readonly string[];

	/** Monotonic time of the first report in milliseconds. */
	readonly at: number;
};

type Suspicion = {
	/** Ids of the deaths that are attributed to the fingerprint. */
	readonly deaths: Set<string>;

	/** Monotonic time in milliseconds. */
	expiresAt: number;
};

/** Deaths and suspicions as one entry knows them. Both expire after `QUARANTINE_MS`, and the oldest are dropped beyond `MAX_SUSPECTS`. */
export class Quarantine {
	readonly #clock: Clock;
	readonly #deaths = new Map<string, Death>();
	readonly #suspicions = new Map<string, Suspicion>();

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
	}

	/** Records a report. @returns whether it names a new death or new fingerprints, and so has to be sent to other entries. */
	record({deathId, fingerprints}: DeathReport): boolean {
		this.#removeExpired();
		const known = this.#deaths.get(deathId);
		if (known && fingerprints.every(item => known.fingerprints.has(item))) {
			return false;
		}

		const at = known?.at ?? this.#clock.monotonic();
		const allFingerprints = new Set([...known?.fingerprints ?? [], ...fingerprints]);
		this.#removeAttribution(deathId, known);
		const attributed = this.#selectAttributed(allFingerprints);
		this.#deaths.set(deathId, {fingerprints: allFingerprints, attributed, at});
		for (const item of attributed) {
			this.#addDeath(item, deathId);
		}

		return true;
	}

	/** Whether at least one death is attributed to the request. */
	isSuspect(fingerprint: string): boolean {
		return this.#suspicions.size > 0 && this.#findActive(fingerprint) !== undefined;
	}

	/** Whether so many deaths are attributed to the request that it must be rejected. */
	isQuarantined(fingerprint: string): boolean {
		return this.#suspicions.size > 0 && (this.#findActive(fingerprint)?.deaths.size ?? 0) >= QUARANTINE_DEATHS;
	}

	/** Clears the deaths attributed to a request, because it was answered in full. */
	clearSuspicion(fingerprint: string): void {
		if (this.#suspicions.size > 0) {
			this.#suspicions.delete(fingerprint);
		}
	}

	/** Selects the requests that were suspects before this death, or all when none was, so that a death is not attributed to requests that only ran at the same time as a poison request. */
	#selectAttributed(fingerprints: ReadonlySet<string>): readonly string[] {
		const earlierSuspects = [...fingerprints].filter(item => this.#findActive(item) !== undefined);
		return earlierSuspects.length > 0 ? earlierSuspects : [...fingerprints];
	}

	#findActive(fingerprint: string): Suspicion | undefined {
		const suspicion = this.#suspicions.get(fingerprint);
		return suspicion && suspicion.expiresAt > this.#clock.monotonic() ? suspicion : undefined;
	}

	#addDeath(fingerprint: string, deathId: string): void {
		const suspicion = this.#findActive(fingerprint) ?? {deaths: new Set<string>(), expiresAt: 0};
		suspicion.deaths.add(deathId);
		suspicion.expiresAt = this.#clock.monotonic() + QUARANTINE_MS;
		this.#suspicions.set(fingerprint, suspicion);
	}

	/** Removes the attribution of a death, which is made anew when a report names more fingerprints. */
	#removeAttribution(deathId: string, death: Death | undefined): void {
		for (const item of death?.attributed ?? []) {
			const suspicion = this.#suspicions.get(item);
			suspicion?.deaths.delete(deathId);
			if (suspicion?.deaths.size === 0) {
				this.#suspicions.delete(item);
			}
		}
	}

	#removeExpired(): void {
		const now = this.#clock.monotonic();
		for (const [id, {at}] of this.#deaths) {
			if (now - at > QUARANTINE_MS || this.#deaths.size > MAX_SUSPECTS) {
				this.#deaths.delete(id);
			}
		}

		for (const [fingerprint, {expiresAt}] of this.#suspicions) {
			if (expiresAt <= now || this.#suspicions.size > MAX_SUSPECTS) {
				this.#suspicions.delete(fingerprint);
			}
		}
	}
}
