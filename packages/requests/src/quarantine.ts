/** Attributes deaths of upstreams to requests, and rejects requests that have brought down several. */
import type {Clock} from '@yuccawood/common';
import {MAX_SUSPECTS, QUARANTINE_DEATHS, QUARANTINE_MS} from './constants.js';
import type {DeathReport} from './types.js';

type Death = {
	/** Requests in progress at the upstream when it died. */
	readonly fingerprints: ReadonlySet<string>;
	readonly attributed: readonly string[];
	readonly at: number;
};

type Suspicion = {
	/** Ids of the deaths that are attributed to the fingerprint. */
	readonly deaths: Set<string>;
	expiresAt: number;
};

export class Quarantine {
	readonly #clock: Clock;
	readonly #deaths = new Map<string, Death>();
	readonly #suspicions = new Map<string, Suspicion>();

	constructor({clock}: {readonly clock: Clock}) {
		this.#clock = clock;
	}

	/** @returns whether the report says something new, so that it should be passed on. */
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

	/** Whether the request was in progress at a death that is attributed to it. */
	isSuspect(fingerprint: string): boolean {
		return this.#suspicions.size > 0 && this.#findActive(fingerprint) !== undefined;
	}

	isQuarantined(fingerprint: string): boolean {
		return this.#suspicions.size > 0 && (this.#findActive(fingerprint)?.deaths.size ?? 0) >= QUARANTINE_DEATHS;
	}

	/** Ends the suspicion of a request that was answered in full. */
	clearSuspicion(fingerprint: string): void {
		if (this.#suspicions.size > 0) {
			this.#suspicions.delete(fingerprint);
		}
	}

	/** Attributes a death only to those that were suspects before; with none, to all. */
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

	/** Takes back the attribution of a death before it is made anew with more fingerprints. */
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
