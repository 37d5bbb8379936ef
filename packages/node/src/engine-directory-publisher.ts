/** Writes the directory of engines to the store whenever the configuration changes it. Every entry runs a publisher; once one has written, the others have nothing to write. */
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
The directory that has to be written; undefined if the stored one is equal, or was made from a configuration that is not
older than the one known here.
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

	/** Compares only after a change, because a configuration may have thousands of routes. */
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
			this.#log.info('The directory of engines was written.', {revision: directory.revision});
		} else if (written.val.kind === 'conflict') {
			this.#log.info('Another entry has written the directory of engines.', {revision: directory.revision});
		} else {
			this.#log.warn('The directory of engines cannot be written to the store; trying again.', {revision: directory.revision, error: written.val.message});
		}

		// The watch delivers the new directory, whichever entry wrote it.
		await clock.sleep(DIRECTORY_WRITE_RETRY_MS, signal);
	}
}
