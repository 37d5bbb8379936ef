/**
Finds out whether the path to an engine delivers, by calls to the agent on the same VM. A call shows it at once, whatever the
engine does, and costs no caller anything if it is delayed.
*/
import type {Clock, Log, Metrics} from '@yuccawood/common';
import type {ProbeOutcome} from '@yuccawood/dispatch';
import {PATH_PROBE_INTERVAL_MS} from './constants.js';
import type {ConnectedUpstream} from './upstream-states.js';

export type PathProbesOptions = {
	/** Calls the agent on the VM of the address, `IP:port`. Resolves when the outcome is known. */
	readonly probe: ((address: string) => Promise<ProbeOutcome>) | undefined;

	/** Whether an agent runs on the VM of the upstream. */
	readonly hasAgent: (state: ConnectedUpstream) => boolean;
	readonly isListed: (state: ConnectedUpstream) => boolean;

	/** Called when the path may take requests again. */
	readonly onProven: (state: ConnectedUpstream) => void;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

export class PathProbes {
	readonly #options: PathProbesOptions;
	readonly #watched = new Set<ConnectedUpstream>();
	readonly #closing = new AbortController();

	constructor(options: PathProbesOptions) {
		this.#options = options;
	}

	/** Watches the path after a request was written on it. @param silenceMs time after which it should have shown something */
	watch(state: ConnectedUpstream, silenceMs: number): void {
		if (this.#options.probe && !this.#watched.has(state) && this.#options.hasAgent(state)) {
			this.#watched.add(state);
			state.underWay.beginProbes();
			void this.#run(state, silenceMs);
		}
	}

	close(): void {
		this.#closing.abort();
	}

	/** Resolves when nothing is under way any more and the path delays nothing. */
	async #run(state: ConnectedUpstream, silenceMs: number): Promise<void> {
		const {clock, isListed} = this.#options;
		const {signal} = this.#closing;
		while (!signal.aborted && isListed(state)) {
			const {sends, oldestMs, windowBytes, isProbed} = state.underWay.at(clock.monotonic());
			if (!isProbed || (sends === 0 && windowBytes > 0)) {
				break;
			}

			if (windowBytes > 0 && oldestMs < silenceMs) {
				await clock.sleep(silenceMs - oldestMs, signal);
				continue;
			}

			await this.#probe(state, silenceMs);
			await clock.sleep(PATH_PROBE_INTERVAL_MS, signal);
		}

		this.#watched.delete(state);
	}

	async #probe(state: ConnectedUpstream, silenceMs: number): Promise<void> {
		const {probe, clock, log, metrics, onProven} = this.#options;
		const startedAt = clock.monotonic();
		const outcome = await probe!(state.upstream.address);
		const now = clock.monotonic();
		const before = state.underWay.at(now);
		state.underWay.applyProbe(outcome, {startedAt, now, silenceMs});
		const {windowBytes} = state.underWay.at(now);
		metrics.count('gateway.path_probes', {outcome, late: String(now - startedAt > silenceMs)});
		if (windowBytes === 0 || outcome !== 'answered') {
			log.info('The path to an upstream delays what is sent.', {
				upstream: state.upstream.id, outcome, tookMs: Math.round(now - startedAt), unconfirmedSends: before.sends, unconfirmedMs: Math.round(before.oldestMs),
			});
		}

		if (windowBytes > 0) {
			onProven(state);
		}
	}
}
