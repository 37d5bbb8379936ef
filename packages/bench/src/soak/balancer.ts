/** Chooses entries as the platform's load balancer does: those that report healthy. */
import {Agent, request} from 'undici';
import {repeatUntilAborted, type Random} from '@yuccawood/common';

const POLL_INTERVAL_MS = 200;
const POLL_TIMEOUT_MS = 500;

export class Balancer {
	readonly #entries: readonly string[];
	readonly #random: Random;

	/** A connection for each poll, so that a silent one does not hide an entry for long. */
	readonly #dispatcher = new Agent({pipelining: 0});
	#healthy: readonly string[] = [];

	constructor({entries, random}: {readonly entries: readonly string[]; readonly random: Random}) {
		this.#entries = entries;
		this.#random = random;
	}

	get healthy(): readonly string[] {
		return this.#healthy;
	}

	async run(signal: AbortSignal): Promise<void> {
		await repeatUntilAborted(async () => {
			const states = await Promise.all(this.#entries.map(async entry => this.#isHealthy(entry)));
			this.#healthy = this.#entries.filter((_, index) => states[index]);
		}, {
			signal,
			pauseMs: POLL_INTERVAL_MS,
			onError() {
				// A failed poll leaves the last state.
			},
		});
		await this.#dispatcher.destroy();
	}

	/** A healthy entry, or any when none is. */
	choose(): string {
		const pool = this.#healthy.length > 0 ? this.#healthy : this.#entries;
		return pool[this.#random.below(pool.length)];
	}

	async #isHealthy(entry: string): Promise<boolean> {
		try {
			const {statusCode, body} = await request(`http://${entry}/healthz`, {dispatcher: this.#dispatcher, signal: AbortSignal.timeout(POLL_TIMEOUT_MS)});
			await body.dump();
			return statusCode === 200;
		} catch {
			return false;
		}
	}
}
