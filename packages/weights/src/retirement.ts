/** Unloads replaced versions and releases their chunks, after a delay in which slower peers can still fetch them. */
import type {Clock, Log} from '@yuccawood/common';
import type {ChunkStore} from './chunk-store.js';
import type {EngineMonitor} from './engine-monitor.js';
import type {EngineCommands} from './engine-commands.js';
import type {ManifestLibrary} from './manifest-library.js';

export type RetirementOptions = {
	readonly store: ChunkStore;
	readonly manifestLibrary: ManifestLibrary;
	readonly commands: EngineCommands;
	readonly monitor: EngineMonitor;
	readonly clock: Clock;
	readonly log: Log;

	/** Time for which an unused version is kept, in milliseconds. */
	readonly releaseAfterMs: number;
};

export class Retirement {
	readonly #options: RetirementOptions;

	/** Monotonic time at which each manifest was first seen unused, in milliseconds. */
	readonly #unusedSince = new Map<string, number>();

	constructor(options: RetirementOptions) {
		this.#options = options;
	}

	/**
	Retires versions that have been unused for `releaseAfterMs`. `used` has the hashes of the manifests that are targets
	or still serve requests.
	*/
	async retireUnused(used: ReadonlySet<string>): Promise<void> {
		const {store, monitor, clock, releaseAfterMs} = this.#options;
		const present = new Set([...store.retained, ...monitor.versions.map(({manifest}) => manifest)]);
		for (const manifest of this.#unusedSince.keys()) {
			if (used.has(manifest) || !present.has(manifest)) {
				this.#unusedSince.delete(manifest);
			}
		}

		for (const manifest of present) {
			if (used.has(manifest)) {
				continue;
			}

			const since = this.#unusedSince.get(manifest) ?? clock.monotonic();
			this.#unusedSince.set(manifest, since);
			if (clock.monotonic() - since >= releaseAfterMs) {
				// If the engine refuses the command, it is retried after another `releaseAfterMs` and not at each poll.
				this.#unusedSince.delete(manifest);
				await this.#retire(manifest);
			}
		}
	}

	/** Releases the chunks of all unused versions at once, because a new version does not fit into the store. */
	releaseUnusedChunks(): void {
		for (const manifest of this.#unusedSince.keys()) {
			this.#options.store.release(manifest);
		}
	}

	async #retire(manifest: string): Promise<void> {
		const {store, manifestLibrary, commands, monitor, log} = this.#options;
		store.release(manifest);
		manifestLibrary.remove(manifest);
		if (!monitor.versions.some(version => version.manifest === manifest)) {
			return;
		}

		const unloaded = await commands.unload(manifest);
		log.info(unloaded.ok ? 'Unloaded a replaced version.' : unloaded.val.message, {manifest});
	}
}
