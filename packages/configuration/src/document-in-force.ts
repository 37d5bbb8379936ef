import {Publisher, type Log, type Metrics} from '@yuccawood/common';
import type {Stream} from 'most';
import {renderDocument} from './document.js';
import {isSections} from './head.js';
import {parseConfiguration} from './parse-configuration.js';
import type {ConfigurationInForce, Snapshot} from './types.js';

/**
The document that a process has in force, that is, that it uses at present.

A document replaces it only as a whole, without faults, and with a higher revision.
*/
export class DocumentInForce {
	readonly #publisher = new Publisher<ConfigurationInForce>();
	readonly #log: Log;
	readonly #metrics: Metrics;
	#snapshot: Snapshot | undefined;
	#current: ConfigurationInForce | undefined;
	#faultyRevision = 0;

	constructor({log, metrics}: {readonly log: Log; readonly metrics: Metrics}) {
		this.#log = log;
		this.#metrics = metrics;
	}

	get current(): ConfigurationInForce | undefined {
		return this.#current;
	}

	/** Sections of the document in force, as served to peers. */
	get snapshot(): Snapshot | undefined {
		return this.#snapshot;
	}

	/** Revision in force; 0 when there is none yet. */
	get revision(): number {
		return this.#current?.revision ?? 0;
	}

	/** Highest revision that was rejected for its faults, so that it is not fetched again; 0 for none. */
	get faultyRevision(): number {
		return this.#faultyRevision;
	}

	get changes(): Stream<ConfigurationInForce> {
		return this.#publisher.changes;
	}

	/** Brings a document into force if it is newer and has no faults. @returns whether it did. */
	apply({revision, sections}: Snapshot): boolean {
		if (!Number.isSafeInteger(revision) || revision <= this.revision || !isSections(sections)) {
			return false;
		}

		const {configuration, faults} = parseConfiguration(renderDocument(sections));
		if (!configuration) {
			this.#reportFaults(revision, faults.length);
			return false;
		}

		this.#snapshot = {revision, sections};
		this.#current = {revision, configuration};
		this.#log.info('Configuration in force.', {revision});
		this.#metrics.gauge('configuration.revision', revision);
		this.#publisher.publish(this.#current);
		return true;
	}

	#reportFaults(revision: number, count: number): void {
		this.#metrics.count('configuration.faulty');
		if (revision <= this.#faultyRevision) {
			return;
		}

		this.#faultyRevision = revision;
		this.#log.error('A configuration with faults was not brought into force. Correct it with yuccawood check and apply.', {revision, faults: count, inForce: this.revision});
	}
}
