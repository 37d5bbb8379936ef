/** Tracks the state of the engine by polling it. */
import type {Log} from '@yuccawood/common';
import type {EngineState, LoadedVersion, ModelEngine} from '@yuccawood/interfaces';
import {ENGINE_DOWN_AFTER_POLLS} from './constants.js';

export class EngineMonitor {
	readonly #engine: ModelEngine;
	readonly #log: Log;
	#state: EngineState | undefined;
	#failedPolls = 0;

	constructor({engine, log}: {readonly engine: ModelEngine; readonly log: Log}) {
		this.#engine = engine;
		this.#log = log;
	}

	/** The last state that the engine reported; `undefined` while the engine is down. */
	get state(): EngineState | undefined {
		return this.#state;
	}

	/** Versions loaded in the engine; empty while it is down. */
	get versions(): readonly LoadedVersion[] {
		return this.#state?.versions ?? [];
	}

	/** Polls the engine. It counts as down at once if it refuses connections, and otherwise only after several failed polls. */
	async refresh(): Promise<void> {
		const result = await this.#engine.state();
		if (result.ok) {
			if (this.#state && this.#state.incarnation !== result.val.incarnation) {
				this.#log.warn('The engine has restarted.', {incarnation: result.val.incarnation});
			}

			this.#failedPolls = 0;
			this.#state = result.val;
			return;
		}

		this.#failedPolls++;
		if (this.#state && (result.val.kind === 'unavailable' || this.#failedPolls >= ENGINE_DOWN_AFTER_POLLS)) {
			this.#log.warn('The engine is down.', {error: result.val.message});
			this.#state = undefined;
		}
	}

	/** Polls the engine and checks whether it has loaded the version with this manifest. */
	async isLoaded(manifest: string): Promise<boolean> {
		await this.refresh();
		return this.versions.some(version => version.manifest === manifest);
	}

	/** Whether the version with this manifest was active at the last poll. */
	isActive(manifest: string): boolean {
		return this.versions.some(version => version.active && version.manifest === manifest);
	}
}
