/**
Tells since when connections may have waited to be accepted.

The event loop accepts one connection in each turn, so while every turn accepts one, more of them may wait. A turn that
accepts none shows that none was left.
*/
import type {Clock} from '@yuccawood/common';

export type AcceptBacklogOptions = {
	readonly clock: Pick<Clock, 'monotonic'>;

	/** Runs the function after the next poll of the sockets. */
	readonly afterPoll?: (call: () => void) => void;
};

export class AcceptBacklog {
	readonly #options: Required<AcceptBacklogOptions>;

	/** Monotonic milliseconds; undefined while no connection waits. */
	#since: number | undefined;
	#hasAccepted = false;

	constructor({clock, afterPoll = setImmediate}: AcceptBacklogOptions) {
		this.#options = {clock, afterPoll};
	}

	/** Whether more connections may wait to be accepted. */
	get isDraining(): boolean {
		return this.#since !== undefined;
	}

	/** Time in milliseconds for which each turn has accepted a connection. None of them has waited longer. */
	get waitMs(): number {
		return this.#since === undefined ? 0 : this.#options.clock.monotonic() - this.#since;
	}

	/**
	Records that a connection was accepted.

	@param readDelayMs longest time since the poll before this one, in milliseconds
	@returns the earliest monotonic time in milliseconds at which the connection may have been opened
	*/
	recordAccept(readDelayMs: number): number {
		this.#hasAccepted = true;
		if (this.#since === undefined) {
			this.#since = this.#options.clock.monotonic() - readDelayMs;
			this.#watch();
		}

		return this.#since;
	}

	#watch(): void {
		this.#options.afterPoll(() => {
			if (!this.#hasAccepted) {
				this.#since = undefined;
				return;
			}

			this.#hasAccepted = false;
			this.#watch();
		});
	}
}
