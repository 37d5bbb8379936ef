import {
	MemoryMetrics, StatsdMetrics, type Metrics, type MetricTags,
} from '@yuccawood/common';
import type {ProcessSettings} from './types.js';

/** Keeps metrics in memory for `status.report`, and also sends them to StatsD if a server is configured. */
export class ProcessMetrics implements Metrics {
	readonly memory = new MemoryMetrics();
	readonly #targets: readonly Metrics[];

	constructor({id, metrics: {statsd}}: ProcessSettings) {
		if (statsd === undefined) {
			this.#targets = [this.memory];
			return;
		}

		const separator = statsd.lastIndexOf(':');
		const sender = new StatsdMetrics({host: statsd.slice(0, separator), port: Number(statsd.slice(separator + 1)), tags: {vm: id}});
		this.#targets = [this.memory, sender];
	}

	readonly count = (name: string, tags?: MetricTags, amount?: number): void => {
		for (const target of this.#targets) {
			target.count(name, tags, amount);
		}
	};

	readonly gauge = (name: string, value: number, tags?: MetricTags): void => {
		for (const target of this.#targets) {
			target.gauge(name, value, tags);
		}
	};

	readonly timing = (name: string, milliseconds: number, tags?: MetricTags): void => {
		for (const target of this.#targets) {
			target.timing(name, milliseconds, tags);
		}
	};

	readonly close = (): void => {
		for (const target of this.#targets) {
			target.close();
		}
	};
}
