#!/usr/bin/env node
/**
Runs stand-ins in a process of their own.

The first line of standard output is `{"address": "IP:port", "addresses": [...]}`. With `--count`, one process runs several
engines or services, which takes less memory than one process for each.
*/
import process from 'node:process';
import {Command} from 'commander';
import {seededRandom} from '@yuccawood/common';
import type {VmState} from '@yuccawood/interfaces';
import {createWeights, type WeightsOptions} from './create-weights.js';
import {EngineStandIn} from './engine-stand-in.js';
import {KeyValueStandIn} from './key-value-stand-in.js';
import {OriginStandIn} from './origin-stand-in.js';
import {ServiceStandIn} from './service-stand-in.js';
import {VmListStandIn} from './vm-list-stand-in.js';

type Listener = {readonly listen: (host: string, port: number) => Promise<string>};

/** Starts the stand-ins and prints their addresses. The first listens on the given port, the others on free ports. */
const listenAll = async (standIns: readonly Listener[], listen: string): Promise<void> => {
	const separator = listen.lastIndexOf(':');
	const host = listen.slice(0, separator);
	const port = Number(listen.slice(separator + 1));
	const addresses = await Promise.all(standIns.map(async (standIn, index) => standIn.listen(host, index === 0 ? port : 0)));
	process.stdout.write(`${JSON.stringify({address: addresses[0], addresses})}\n`);
};

const createSeveral = (count: number, create: (index: number) => Listener): readonly Listener[] => Array.from({length: count}, (_, index) => create(index));

const appendValue = (value: string, earlier: readonly string[] = []): readonly string[] => [...earlier, value];

/** Parses `seed:name:version:kind:size:chunk[:base[:shared chunks]]`. */
const parseWeights = (text: string): WeightsOptions => {
	const [seed, name, version, kind, size, chunk, base = '', shared = '0'] = text.split(':');
	return {
		seed, name, version, kind: kind === 'adapter' ? 'adapter' : 'model', sizeBytes: Number(size), chunkBytes: Number(chunk),
		base: base === '' ? undefined : base, sharedChunks: Number(shared),
	};
};

const parseVm = (text: string): VmState => {
	const [id, state = 'live'] = text.split(':');
	return {id, state: state === 'leaving' ? 'leaving' : 'live'};
};

const program = new Command('stand-in').description('Runs a stand-in of the platform.');
const subcommand = (name: string, description: string): Command => program.command(name).description(description)
	.option('--listen <address>', 'IP number and port; port 0 takes a free one', '127.0.0.1:0');

subcommand('key-value', 'Key-value service')
	.option('--writes-per-second <number>', 'limit of writes', Number, 400)
	.option('--reads-per-second <number>', 'limit of reads', Number, 2000)
	.action(async (options: {listen: string; writesPerSecond: number; readsPerSecond: number}) => listenAll([new KeyValueStandIn(options)], options.listen));

subcommand('origin', 'Origin of weights')
	.option('--weights <text>', 'seed:name:version:kind:size:chunk[:base[:shared chunks]], repeatable', appendValue, [])
	.option('--link-bytes-per-second <number>', 'bandwidth of the link', Number, Number.POSITIVE_INFINITY)
	.option('--seed <text>', 'seed of the faults', 'origin')
	.action(async ({listen, weights, linkBytesPerSecond, seed}: {listen: string; weights: string[]; linkBytesPerSecond: number; seed: string}) => listenAll([new OriginStandIn({
		linkBytesPerSecond, random: seededRandom(seed), weights: weights.map(text => createWeights(parseWeights(text))),
	})], listen));

subcommand('vm-list', 'List of VMs')
	.option('--vm <text>', 'id[:live|leaving], repeatable', appendValue, [])
	.option('--lag-ms <number>', 'time until a change shows', Number, 0)
	.action(async ({listen, vm, lagMs}: {listen: string; vm: string[]; lagMs: number}) => listenAll([new VmListStandIn({lagMs, vms: vm.map(text => parseVm(text))})], listen));

subcommand('engine', 'Model engine')
	.option('--capacity <number>', 'requests that run at the same time', Number, 16)
	.option('--queue-limit <number>', 'requests that wait', Number, 32)
	.option('--token-interval-ms <number>', 'time between tokens', Number, 5)
	.option('--prefill-block-ms <number>', 'time for each uncached block of the prompt', Number, 0)
	.option('--load-ms <number>', 'time to assemble weights', Number, 0)
	.option('--load-report-lag-ms <number>', 'lag of load reports', Number, 100)
	.option('--ignore-fencing', 'accept orders with stale fencing numbers')
	.option('--cache-blocks <number>', 'size of the prefix cache in blocks of 64 characters', Number, 4096)
	.option('--crash-down-ms <number>', 'time down after a crash', Number, 500)
	.option('--count <number>', 'engines in this process', Number, 1)
	.option('--exit-on-crash', 'exit the process on a crash')
	.option('--active <text>', 'name:version:manifest that is active from the start, repeatable', appendValue, [])
	.action(async ({listen, ignoreFencing = false, exitOnCrash = false, active, count, ...options}: {
		listen: string; count: number; ignoreFencing?: boolean; exitOnCrash?: boolean; active: string[]; capacity: number; queueLimit: number;
		tokenIntervalMs: number; prefillBlockMs: number; loadMs: number; loadReportLagMs: number; cacheBlocks: number; crashDownMs: number;
	}) => listenAll(createSeveral(count, index => new EngineStandIn({
		...options,
		random: seededRandom(`engine-${index}`),
		checksFencing: !ignoreFencing,
		versions: active.map(text => {
			const [name, version, manifest] = text.split(':');
			return {
				name, version, manifest, kind: 'model', active: true,
			};
		}),
		onCrash: exitOnCrash
			? () => {
				process.exit(1);
			}
			: undefined,
	})), listen));

subcommand('service', 'Plain service')
	.option('--count <number>', 'services in this process', Number, 1)
	.option('--name <text>', 'name in the answers', 'service')
	.option('--work-ms <number>', 'time that a call takes', Number, 0)
	.action(async (options: {listen: string; count: number; name: string; workMs: number}) => listenAll(createSeveral(options.count, () => new ServiceStandIn(options)), options.listen));

await program.parseAsync();
