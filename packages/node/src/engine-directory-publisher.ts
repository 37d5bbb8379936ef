/** Keeps the store's directory of engines in step with the configuration. Each entry runs one; the first to write spares the others. */
import type {Clock, Log, Random} from '@yuccawood/common';
import {
	engineDirectoryOf, isSameDirectory, type ConfigurationInForce, type EngineDirectory, type FleetView, type StoredDirectory,
} from '@yuccawood/fleet';
import {encodeEngineDirectory, ENGINES_KEY, type StoreClient} from '@yuccawood/platform';
import {DIRECTORY_WRITE_JITTER_MS, DIRECTORY_COMPARE_INTERVAL_MS, DIRECTORY_WRITE_RETRY_MS} from './constants.js';

export type EngineDirectoryPublisherOptions = {
	readonly store: StoreClient;
	readonly view: FleetView;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/**
What has to be written; nothing when the store says it already, or was written from a newer configuration than the one
that is known here.
*/
export const directoryToWrite = (inForce: ConfigurationInForce | undefined, stored: StoredDirectory | undefined): EngineDirectory | undefined => {
	if (!inForce) {
		return undefined;
	}

	const directory = engineDirectoryOf(inForce.configuration, inForce.revision);
	const isNeeded = !stored || (stored.directory.revision < directory.revision && !isSameDirectory(stored.directory, directory));
	return isNeeded ? directory : undefined;
};

export class EngineDirectoryPublisher {
	readonly #options: EngineDirectoryPublisherOptions;
	readonly #log: Log;
	#upToDatePair: {readonly inForce: ConfigurationInForce | undefined; readonly stored: StoredDirectory | undefined} | undefined;

	constructor(options: EngineDirectoryPublisherOptions) {
		this.#options = options;
		this.#log = options.log.part('directory');
	}

	/** Runs until the signal aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#options;
		while (!signal.aborted) {
			if (this.#directoryToWrite()) {
				await clock.sleep(random.next() * DIRECTORY_WRITE_JITTER_MS, signal);
				await this.#publish(signal);
			}

			await clock.sleep(DIRECTORY_COMPARE_INTERVAL_MS, signal);
		}
	}

	/** Compares only after a change: a configuration may have thousands of routes. */
	#directoryToWrite(): EngineDirectory | undefined {
		const {inForce, engines: stored} = this.#options.view;
		if (this.#upToDatePair?.inForce === inForce && this.#upToDatePair?.stored === stored) {
			return undefined;
		}

		const directory = directoryToWrite(inForce, stored);
		if (!directory) {
			this.#upToDatePair = {inForce, stored};
		}

		return directory;
	}

	async #publish(signal: AbortSignal): Promise<void> {
		const {store, view, clock} = this.#options;
		const directory = this.#directoryToWrite();
		if (!directory || signal.aborted) {
			return;
		}

		const written = await store.replace({key: ENGINES_KEY, value: encodeEngineDirectory(directory), lease: 0}, view.engines?.itemRevision ?? 0);
		if (written.ok) {
			this.#log.info('The directory of engines is written.', {revision: directory.revision});
		} else if (written.val.kind === 'conflict') {
			this.#log.info('Another entry has written the directory of engines.', {revision: directory.revision});
		} else {
			this.#log.warn('The directory of engines cannot be written; it is tried again.', {revision: directory.revision, error: written.val.message});
		}

		// The watch delivers what was written, by whichever entry.
		await clock.sleep(DIRECTORY_WRITE_RETRY_MS, signal);
	}
}
