import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Metrics, MetricTags} from './metrics.js';

/** Upper bounds of the latency histogram buckets, in milliseconds. */
const BUCKETS_MS = [5, 10, 25, 50, 100, 150, 200, 300, 400, 600, 1000, 2000, 4000, 8000];

/** Prometheus allows only letters, digits and underscores in the name of a metric. */
const prometheusName = (name: string): string => `yuccawood_${name.replaceAll(/\W/g, '_')}`;

/** Counters, gauges and latency histograms in the Prometheus text format. */
export class PrometheusMetrics implements Metrics {
	readonly #registry = new Registry();
	readonly #counters = new Map<string, Counter>();
	readonly #gauges = new Map<string, Gauge>();
	readonly #histograms = new Map<string, Histogram>();

	readonly count = (name: string, tags: MetricTags = {}, amount = 1): void => {
		this.#findOrCreate(this.#counters, name, tags, options => new Counter(options)).inc(tags, amount);
	};

	readonly gauge = (name: string, value: number, tags: MetricTags = {}): void => {
		this.#findOrCreate(this.#gauges, name, tags, options => new Gauge(options)).set(tags, value);
	};

	readonly timing = (name: string, milliseconds: number, tags: MetricTags = {}): void => {
		this.#findOrCreate(this.#histograms, name, tags, options => new Histogram({...options, buckets: BUCKETS_MS})).observe(tags, milliseconds);
	};

	readonly close = (): void => {
		this.#registry.clear();
	};

	/** All metrics in the Prometheus text format. */
	async text(): Promise<string> {
		return this.#registry.metrics();
	}

	/** The first use of a metric fixes its label names; later uses must have the same tags. */
	#findOrCreate<Metric>(known: Map<string, Metric>, name: string, tags: MetricTags, create: (options: {name: string; help: string; labelNames: string[]; registers: Registry[]}) => Metric): Metric {
		let metric = known.get(name);
		if (!metric) {
			metric = create({
				name: prometheusName(name), help: name, labelNames: Object.keys(tags), registers: [this.#registry],
			});
			known.set(name, metric);
		}

		return metric;
	}
}
