/** Sends commands to the engine, each with the fencing number that is current when the command is sent. */
import {Err, Ok, type Result} from '@yuccawood/common';
import type {LoadOrder, ModelEngine} from '@yuccawood/interfaces';
import {RolloutError} from './errors.js';
import type {VerifiedManifest} from './manifest-library.js';

/** Returns the current fencing number, or the reason why the agent must not send commands now. */
export type Fencing = () => Result<number, {readonly message: string}>;

type CommandResult = Promise<Result<void, RolloutError>>;

export class EngineCommands {
	readonly #engine: ModelEngine;
	readonly #fencing: Fencing;

	constructor({engine, fencing}: {readonly engine: ModelEngine; readonly fencing: Fencing}) {
		this.#engine = engine;
		this.#fencing = fencing;
	}

	/** Commands the engine to load a version from its chunks. Succeeds only if the engine computes the same manifest hash. */
	async load({hash, manifest: {name, version, kind, chunks}}: VerifiedManifest): CommandResult {
		return this.#withFencing('load', async fencingNumber => {
			const order: LoadOrder = {
				fencingNumber, manifest: hash, name, version, kind, chunks,
			};
			const confirmed = await this.#engine.load(order);
			if (confirmed.ok && confirmed.val !== hash) {
				return Err(new RolloutError({
					kind: 'unconfirmed',
					detail: `The engine computed manifest ${confirmed.val} for ${name} ${version} instead of ${hash}.`,
					remedy: 'The load is retried; if this happens repeatedly, check the engine.',
				}));
			}

			return confirmed;
		});
	}

	async activate(manifest: string): CommandResult {
		return this.#withFencing('activate', async fencingNumber => this.#engine.activate({fencingNumber, manifest}));
	}

	async unload(manifest: string): CommandResult {
		return this.#withFencing('unload', async fencingNumber => this.#engine.unload({fencingNumber, manifest}));
	}

	async #withFencing(command: string, run: (fencingNumber: number) => Promise<Result<unknown, Error>>): CommandResult {
		const fencing = this.#fencing();
		if (fencing.err) {
			return Err(new RolloutError({
				kind: 'no-fencing', detail: `The command ${command} was not sent: ${fencing.val.message}`, remedy: 'It is sent once the agent holds its lease again.',
			}));
		}

		const result = await run(fencing.val);
		if (result.ok) {
			return Ok.EMPTY;
		}

		return Err(result.val instanceof RolloutError
			? result.val
			: new RolloutError({
				kind: 'engine', detail: `The engine did not execute the command ${command}: ${result.val.message}`, remedy: 'The command is retried.', cause: result.val,
			}));
	}
}
