import {StatsD} from 'hot-shots';

/** Dimensions of a metric, for example `{upstream: 'a'}`. */
export type MetricTags = Readonly<Record<string, string>>;

/** Counters, gauges and timings of a process. */
export interface Metrics {
	readonly count: (name: string, tags?: MetricTags, amount?: number) => void;
	readonly gauge: (name: string, value: number, tags?: MetricTags) => void;

	/** Records a duration in milliseconds. */
	readonly timing: (name: string, milliseconds: number, tags?: MetricTags) => void;
	readonly close: () => void;
}

/** Sends metrics to a StatsD server over UDP. Lost datagrams are not sent again. */
export class StatsdMetrics implements Metrics {
	readonly #client: StatsD;

	constructor({host, port, prefix = 'yuccawood.', tags = {}}: {
		readonly host: string;
		readonly port: number;
		readonly prefix?: string;
		readonly tags?: MetricTags;
	}) {
		this.#client = new StatsD({
			host, port, prefix, globalTags: {...tags}, maxBufferSize: 1024, bufferFlushInterval: 1000,
			errorHandler() {
				// Errors are ignored: a StatsD server that is down must not affect requests.
			},
		});
	}

	readonly count = (name: string, tags: MetricTags = {}, amount = 1): void => {
		this.#client.increment(name, amount, {...tags});
	};

	readonly gauge = (name: string, value: number, tags: MetricTags = {}): void => {
		this.#client.gauge(name, value, {...tags});
	};

	readonly timing = (name: string, milliseconds: number, tags: MetricTags = {}): void => {
		this.#client.timing(name, milliseconds, {...tags});
	};

	readonly close = (): void => {
		this.#client.close();
	};
}

/**
Keeps counters and the last value of each gauge in memory, for tests and for `status.report`.

Keys have the form `name,tag=value,...` with sorted tags. Of a timing, only the number of calls is counted.
*/
export class MemoryMetrics implements Metrics {
	readonly counters = new Map<string, number>();
	readonly gauges = new Map<string, number>();

	readonly count = (name: string, tags: MetricTags = {}, amount = 1): void => {
		const key = metricKey(name, tags);
		this.counters.set(key, (this.counters.get(key) ?? 0) + amount);
	};

	readonly gauge = (name: string, value: number, tags: MetricTags = {}): void => {
		this.gauges.set(metricKey(name, tags), value);
	};

	readonly timing = (name: string, _milliseconds: number, tags: MetricTags = {}): void => {
		this.count(name, tags);
	};

	readonly close = (): void => {
		this.counters.clear();
		this.gauges.clear();
	};
}

const metricKey = (name: string, tags: MetricTags): string => {
	const pairs = Object.entries(tags).map(([key, value]) => `${key}=${value}`);
	return [name, ...pairs.sort()].join(',');
};
