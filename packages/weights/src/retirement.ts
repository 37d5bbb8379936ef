/** Unloads replaced versions and releases their chunks once late peers have had time to read them. */
import type {Clock, Log} from '@yuccawood/common';
import type {ChunkStore} from './chunk-store.js';
import type {EngineMonitor} from './engine-monitor.js';
import type {EngineCommands} from './engine-orders.js';
import type {ManifestLibrary} from './manifest-library.js';

export type RetirementOptions = {
	readonly store: ChunkStore;
	readonly library: ManifestLibrary;
	readonly commands: EngineCommands;
	readonly monitor: EngineMonitor;
	readonly clock: Clock;
	readonly log: Log;

	/** Time for which a version without a use stays. */
	readonly releaseAfterMs: number;
};

export class Retirement {
	readonly #options: RetirementOptions;

	/** Monotonic time at which each manifest was first seen without a use. */
	readonly #unusedSince = new Map<string, number>();

	constructor(options: RetirementOptions) {
		this.#options = options;
	}

	/** Retires what has been unused for long enough. `used` names the manifests that are wanted or still answer requests. */
	async run(used: ReadonlySet<string>): Promise<void> {
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
				// A refused command is repeated after another period, not with each step.
				this.#unusedSince.delete(manifest);
				await this.#retire(manifest);
			}
		}
	}

	/** Releases the chunks of all unused versions now, for a version that does not fit otherwise. */
	releaseUnusedChunks(): void {
		for (const manifest of this.#unusedSince.keys()) {
			this.#options.store.release(manifest);
		}
	}

	async #retire(manifest: string): Promise<void> {
		const {store, library, commands, monitor, log} = this.#options;
		store.release(manifest);
		library.remove(manifest);
		if (!monitor.versions.some(version => version.manifest === manifest)) {
			return;
		}

		const unloaded = await commands.unload(manifest);
		log.info(unloaded.ok ? 'Unloaded a replaced version.' : unloaded.val.message, {manifest});
	}
}
