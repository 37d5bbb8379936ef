/** The system of a soak run: real entries and agents, and stand-ins of all that they speak to. */
import http from 'node:http';
import net, {type AddressInfo} from 'node:net';
import process from 'node:process';
import {delay, type Random} from '@yuccawood/common';
import {
	configurationItem, CONFIGURATION_KEY, EngineStandIn, type FleetBounds, JsonServer, OriginStandIn, readinessAddressOf, StoreStandIn, type RequestRun,
} from '@yuccawood/platform/testing';
import {ENTRY_PREFIX} from '@yuccawood/platform';
import {TcpRelay} from '../soak/tcp-relay.js';
import {NodeProcess, type NodeProcessOptions} from './node-process.js';
import type {Change} from './check-bounds.js';
import {DeadlyPrompts, isDeadlyPrompt} from './deadly-prompts.js';
import {Disruptions} from './disruptions.js';
import type {Interval, TimedRun} from './types.js';
import {SoakUpstream} from './upstreams.js';

/** How many of each there are. */
export type FleetSize = {readonly entries: number; readonly engines: number; readonly plain: number};

export const USUAL_SIZE: FleetSize = {entries: 3, engines: 4, plain: 2};

/**
Each VM has a loopback address of its own, because peer ports are the same everywhere; the network depends on the process id,
so that runs do not meet. Upstreams begin at this host number, entries at 1.
*/
const UPSTREAM_HOSTS = 51;
const READINESS_INTERVAL_MS = 200;

/** Time after a fault of a path in which its streams may still break. */
const PATH_AFTER_MS = 1500;

/** Missed questions after which the balancer takes an entry out. */
const MISSES = 2;

export class SoakFleet {
	readonly store = new StoreStandIn();
	readonly origin = new OriginStandIn();
	readonly entries: NodeProcess[] = [];
	readonly agents: NodeProcess[] = [];
	readonly upstreams: SoakUpstream[] = [];
	readonly pathFaults: Interval[] = [];
	readonly runs = new Map<string, TimedRun[]>();
	readonly disruptions: Disruptions;
	readonly deadlyPrompts: DeadlyPrompts;

	/** Changes that the store accepted and that forbid runs after a bound. */
	readonly changes: Change[] = [];

	/** Paths of single processes to the store. */
	readonly storePaths = new Map<NodeProcess, TcpRelay>();

	/** Times at which callers closed the connections of answers without an end. */
	readonly endlessClosed = new Map<string, number>();
	readonly #network = `127.${1 + (Math.floor(process.pid / 250) % 250)}.${process.pid % 250}`;
	readonly #random: Random;
	readonly #now: () => number;
	readonly #size: FleetSize;
	readonly #bounds: FleetBounds;
	readonly #streamTimeoutMs: number;
	readonly #onOutput: ((vm: string, text: string) => void) | undefined;
	readonly #misses: number[] = [];
	readonly #holds = new Map<string, readonly Interval[]>();

	/** Times of the latest questions that entries answered with 200. */
	readonly #readyAt: number[] = [];

	/** Takes connections and never answers. */
	readonly #silentPeer = net.createServer(socket => {
		socket.on('error', () => undefined);
	});

	#timer: NodeJS.Timeout | undefined;

	constructor({random, deadlyRandom, now, size, bounds, streamTimeoutMs, onOutput}: {
		readonly random: Random;
		readonly deadlyRandom: Random;
		readonly now: () => number;
		readonly size: FleetSize;
		readonly bounds: FleetBounds;
		readonly streamTimeoutMs: number;
		readonly onOutput: ((vm: string, text: string) => void) | undefined;
	}) {
		this.#random = random;
		this.#now = now;
		this.#size = size;
		this.#bounds = bounds;
		this.#streamTimeoutMs = streamTimeoutMs;
		this.#onOutput = onOutput;
		this.disruptions = new Disruptions({now});
		this.deadlyPrompts = new DeadlyPrompts({random: deadlyRandom});
	}

	async start(): Promise<void> {
		await this.store.listen();
		await new Promise<void>(resolve => {
			this.#silentPeer.listen(0, '127.0.0.1', resolve);
		});
		this.#silentPeer.unref();
		await this.origin.listen();
		this.store.put(CONFIGURATION_KEY, this.configuration(1));
		const {entries, engines, plain} = this.#size;
		const entryIps = Array.from({length: entries}, (_, index) => `${this.#network}.${index + 1}`);
		for (let i = 0; i < engines + plain; i++) {
			await this.#addUpstream(i, i < engines, entryIps);
		}

		for (const [index, ip] of entryIps.entries()) {
			this.#misses.push(MISSES);
			this.entries.push(await this.#startProcess({
				vm: `entry-${index}`, ip, role: 'entry', entryIps,
			}));
		}

		this.#timer = setInterval(() => {
			for (const index of this.entries.keys()) {
				void this.#askReadiness(index);
			}
		}, READINESS_INTERVAL_MS);
	}

	configuration(version: number): unknown {
		return configurationItem({version, originAddress: this.origin.address, streamTimeoutMs: this.#streamTimeoutMs});
	}

	/** An entry that is ready, as the balancer sees it; any one when none is. */
	readonly chooseEntry = (): {readonly index: number; readonly ip: string} => {
		const all = [...this.entries.keys()];
		const ready = all.filter(index => this.#misses[index] < MISSES);
		const candidates = ready.length > 0 ? ready : all;
		const index = candidates[Math.floor(this.#random.next() * candidates.length)];
		return {index, ip: this.entries[index].ip};
	};

	get processes(): readonly NodeProcess[] {
		return [...this.entries, ...this.agents];
	}

	/** Lists all entries at an address that answers no calls, until they register again. */
	hideEntries(): void {
		const {port} = this.#silentPeer.address() as AddressInfo;
		for (const {name} of this.entries) {
			this.store.put(`${ENTRY_PREFIX}${name}`, `127.0.0.1:${port}`);
		}
	}

	/** Time of the latest question of the balancer that the entry answered with 200. */
	lastReadyAt(index: number): number {
		return this.#readyAt[index] ?? Number.NEGATIVE_INFINITY;
	}

	/** Holds back what comes to the upstream for the time, and then delivers it. */
	async holdPath(upstream: SoakUpstream, milliseconds: number): Promise<void> {
		const holds = this.#holds.get(upstream.id) ?? [];
		this.#holds.set(upstream.id, [...holds, {from: this.#now(), to: this.#now() + milliseconds}]);
		upstream.relay.hold('toTarget');
		await delay(milliseconds);
		upstream.relay.release();
	}

	/** Time within the interval for which the path to the upstream held everything back, in milliseconds. */
	readonly heldWithin = (upstream: string, {from, to}: Interval): number =>
		(this.#holds.get(upstream) ?? []).reduce((sum, hold) => sum + Math.max(0, Math.min(to, hold.to) - Math.max(from, hold.from)), 0);

	notePathFault(milliseconds: number): void {
		this.pathFaults.push({from: this.#now(), to: this.#now() + milliseconds + PATH_AFTER_MS});
	}

	/** Waits until all entries are ready, or the time is over. */
	async awaitReady(limitMs: number): Promise<boolean> {
		const until = this.#now() + limitMs;
		while (this.#now() < until) {
			if (this.#misses.every(count => count === 0)) {
				return true;
			}

			await delay(READINESS_INTERVAL_MS);
		}

		return false;
	}

	async close(): Promise<void> {
		clearInterval(this.#timer);
		await Promise.all(this.processes.map(async node => node.close()));
		await Promise.all(this.upstreams.map(async upstream => upstream.close()));
		await Promise.all([...this.storePaths.values()].map(async relay => relay.close()));
		this.#silentPeer.close();
		await Promise.all([this.store.close(), this.origin.close()]);
	}

	async #addUpstream(index: number, isEngine: boolean, entryIps: readonly string[]): Promise<void> {
		const ip = `${this.#network}.${UPSTREAM_HOSTS + index}`;
		const id = `u-${index}`;
		const engine = isEngine ? new EngineStandIn() : undefined;
		const plain = isEngine
			? undefined
			: new JsonServer(call => {
				this.upstreams[index].requests.answer(call);
			});
		await engine?.listen();
		await plain?.listen();
		const upstream = new SoakUpstream({
			id, isEngine, store: this.store, random: this.#random, target: {engine, plain}, now: this.#now,
			onRun: run => {
				this.#noteRun(run, id);
			},
			onEndlessClosed: requestId => {
				this.endlessClosed.set(requestId, this.#now());
			},
			isDeadly: isDeadlyPrompt,
			onCrash: () => {
				this.#crash(this.upstreams[index]);
			},
		});
		if (engine) {
			engine.handleRequest = upstream.requests.answer;
		}

		await upstream.start(ip);
		this.upstreams.push(upstream);
		if (isEngine) {
			this.agents.push(await this.#startProcess({
				vm: `agent-${index}`, ip, role: 'agent', entryIps, upstreamAddress: upstream.address,
			}));
		}
	}

	/** An engine ends under a request, with all connections, and starts again. */
	#crash(upstream: SoakUpstream): void {
		this.deadlyPrompts.crashes.push(this.#now());
		this.notePathFault(0);
		this.disruptions.note('upstream');
		upstream.restart({losesStage: false});
	}

	async #startProcess(options: Omit<NodeProcessOptions, 'storeAddress' | 'bounds' | 'now' | 'onOutput'>): Promise<NodeProcess> {
		const path = new TcpRelay({target: this.store.address});
		const node = new NodeProcess({
			...options, storeAddress: await path.listen(), bounds: this.#bounds, now: this.#now, onOutput: this.#onOutput && (text => this.#onOutput?.(options.vm, text)),
		});
		this.storePaths.set(node, path);
		await node.start();
		return node;
	}

	#noteRun(run: RequestRun, upstream: string): void {
		const timed = {...run, upstream, at: this.#now()};
		const known = this.runs.get(run.requestId);
		if (known) {
			known.push(timed);
			return;
		}

		this.runs.set(run.requestId, [timed]);
	}

	async #askReadiness(index: number): Promise<void> {
		const askedAt = this.#now();
		const isReady = await new Promise<boolean>(resolve => {
			const request = http.get(`http://${readinessAddressOf(this.entries[index].ip)}/`, {agent: false, timeout: READINESS_INTERVAL_MS}, answer => {
				answer.resume();
				resolve(answer.statusCode === 200);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
		});
		this.#readyAt[index] = isReady ? Math.max(askedAt, this.lastReadyAt(index)) : this.lastReadyAt(index);
		this.#misses[index] = isReady ? 0 : this.#misses[index] + 1;
	}
}
