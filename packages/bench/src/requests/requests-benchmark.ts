/** Benchmark `requests`: goodput, fairness, latency, prefix caches, orders under faults, silent connections and drain, on separate processes. */
import type {Benchmark} from '../types.js';
import {measureDrain, measureOrders, measureSilentPaths} from './measure-faults.js';
import {measureLatency, measureOverload, measurePrefixCache} from './measure-load.js';
import {RequestsFleet} from './requests-fleet.js';

const round = (fields: Readonly<Record<string, number>>): Readonly<Record<string, number>> =>
	Object.fromEntries(Object.entries(fields).map(([name, value]) => [name, Number(value.toFixed(3))]));

export const REQUESTS_BENCHMARK: Benchmark = {
	name: 'requests',
	description: 'goodput at three times capacity, fairness, latency, prefix caches, orders under faults, silent connections and drain',
	options: [{flags: '--milliseconds <n>', description: 'length of the load phases', default: '4000'}],
	async run({milliseconds}, progress) {
		const fleet = new RequestsFleet();
		try {
			await fleet.start();
			progress('Latency and prefix caches.');
			const latency = await measureLatency(fleet);
			const prefixes = await measurePrefixCache(fleet);
			progress('Overload.');
			const overload = await measureOverload(fleet, Number(milliseconds));
			progress('Silent connections.');
			const silent = await measureSilentPaths(fleet);
			progress('Orders under faults.');
			const orders = await measureOrders(fleet, overload.records);
			progress('Drain.');
			const drain = await measureDrain(fleet);
			return round({
				...overload.fields, ...latency, ...prefixes, ...silent, ...orders, ...drain,
			});
		} finally {
			await fleet.close();
		}
	},
};
