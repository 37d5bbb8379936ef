/** Counters, gauges and latency histograms in the text format of Prometheus. */
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Metrics, Tags} from './metrics.js';

/** Upper bounds of latency buckets, in milliseconds. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 150, 200, 300, 400, 600, 1000, 2000, 4000, 8000];

const nameOf = (name: string): string => `yuccawood_${name.replaceAll(/\W/g, '_')}`;

export class PrometheusMetrics implements Metrics {
	readonly #registry = new Registry();
	readonly #counters = new Map<string, Counter>();
	readonly #gauges = new Map<string, Gauge>();
	readonly #histograms = new Map<string, Histogram>();

	readonly count = (name: string, tags: Tags = {}, amount = 1): void => {
		this.#find(this.#counters, name, tags, options => new Counter(options)).inc(tags, amount);
	};

	readonly gauge = (name: string, value: number, tags: Tags = {}): void => {
		this.#find(this.#gauges, name, tags, options => new Gauge(options)).set(tags, value);
	};

	readonly timing = (name: string, milliseconds: number, tags: Tags = {}): void => {
		this.#find(this.#histograms, name, tags, options => new Histogram({...options, buckets: BUCKETS_MS})).observe(tags, milliseconds);
	};

	readonly close = (): void => {
		this.#registry.clear();
	};

	/** All metrics in the text format. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	#find<Metric>(known: Map<string, Metric>, name: string, tags: Tags, create: (options: {name: string; help: string; labelNames: string[]; registers: Registry[]}) => Metric): Metric {
		let metric = known.get(name);
		if (!metric) {
			metric = create({
				name: nameOf(name), help: name, labelNames: Object.keys(tags), registers: [this.#registry],
			});
			known.set(name, metric);
		}

		return metric;
	}
}
