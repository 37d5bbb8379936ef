/** Tells listeners which part of the observed state has changed. */
import {
	describeError, Publisher, type Log, type Metrics,
} from '@yuccawood/common';

export type FleetChange = 'configuration' | 'upstreams' | 'targets' | 'entries' | 'crashers' | 'engines' | 'evacuations';

export class FleetChanges {
	readonly #log: Log;
	readonly #metrics: Metrics;
	readonly #publisher = new Publisher<FleetChange>();

	constructor({log, metrics}: {readonly log: Log; readonly metrics: Metrics}) {
		this.#log = log;
		this.#metrics = metrics;
	}

	publish(change: FleetChange): void {
		this.#publisher.publish(change);
	}

	/** One that throws keeps neither the other listeners nor the source of the change from going on. */
	readonly subscribe = (listener: (change: FleetChange) => void): (() => void) => this.#publisher.subscribe(change => {
		try {
			listener(change);
		} catch (error) {
			this.#metrics.count('fleet.listener_failures', {change});
			this.#log.error('A listener failed to apply a change; the others are told.', {change, error: error instanceof Error ? error.stack : describeError(error)});
		}
	});
}
