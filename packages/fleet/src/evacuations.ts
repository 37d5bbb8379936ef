/** Failure domains whose upstreams may get no requests, by the operators' request. */
import type {Log} from '@yuccawood/common';

export class Evacuations {
	readonly #log: Log;
	readonly #domains = new Set<string>();

	constructor(log: Log) {
		this.#log = log;
	}

	get domains(): ReadonlySet<string> {
		return this.#domains;
	}

	/** @returns whether anything changed */
	apply({failureDomain, isInForce}: {readonly failureDomain: string; readonly isInForce: boolean}): boolean {
		if (this.#domains.has(failureDomain) === isInForce) {
			return false;
		}

		if (isInForce) {
			this.#domains.add(failureDomain);
		} else {
			this.#domains.delete(failureDomain);
		}

		this.#log.audit(isInForce ? 'A failure domain is evacuated; its upstreams get no requests.' : 'The evacuation of a failure domain is taken back.', {failureDomain});
		return true;
	}
}
