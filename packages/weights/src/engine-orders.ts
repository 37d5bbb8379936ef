/** Sends commands to the engine, each with a fencing number that is current at that moment. */
import {Err, Ok, type Result} from '@yuccawood/common';
import type {LoadOrder, ModelEngine} from '@yuccawood/interfaces';
import {RolloutError} from './errors.js';
import type {KnownManifest} from './manifest-library.js';

/** Gives the current fencing number, or the reason why the agent may not send commands now. */
export type Fencing = () => Result<number, {readonly message: string}>;

type OrderOutcome = Promise<Result<void, RolloutError>>;

export class EngineOrders {
	readonly #engine: ModelEngine;
	readonly #fencing: Fencing;

	constructor({engine, fencing}: {readonly engine: ModelEngine; readonly fencing: Fencing}) {
		this.#engine = engine;
		this.#fencing = fencing;
	}

	/** Orders the engine to assemble a version; succeeds only when the engine confirms the manifest hash. */
	async load({hash, manifest: {name, version, kind, chunks}}: KnownManifest): OrderOutcome {
		return this.#withFencing('load', async fencingNumber => {
			const order: LoadOrder = {
				fencingNumber, manifest: hash, name, version, kind, chunks,
			};
			const confirmed = await this.#engine.load(order);
			if (confirmed.ok && confirmed.val !== hash) {
				return Err(new RolloutError({
					kind: 'unconfirmed',
					detail: `The engine computed manifest ${confirmed.val} for ${name} ${version} instead of ${hash}.`,
					remedy: 'The version is loaded again; if this repeats, check the engine.',
				}));
			}

			return confirmed;
		});
	}

	async activate(manifest: string): OrderOutcome {
		return this.#withFencing('activate', async fencingNumber => this.#engine.activate({fencingNumber, manifest}));
	}

	async unload(manifest: string): OrderOutcome {
		return this.#withFencing('unload', async fencingNumber => this.#engine.unload({fencingNumber, manifest}));
	}

	async #withFencing(subject: string, run: (fencingNumber: number) => Promise<Result<unknown, Error>>): OrderOutcome {
		const fencing = this.#fencing();
		if (fencing.err) {
			return Err(new RolloutError({
				kind: 'no-fencing', detail: `The command ${subject} was not sent: ${fencing.val.message}`, remedy: 'It is sent when the agent holds its lease again.',
			}));
		}

		const result = await run(fencing.val);
		if (result.ok) {
			return Ok.EMPTY;
		}

		return Err(result.val instanceof RolloutError
			? result.val
			: new RolloutError({
				kind: 'engine', detail: `The engine did not run the command ${subject}: ${result.val.message}`, remedy: 'The command is sent again.', cause: result.val,
			}));
	}
}
