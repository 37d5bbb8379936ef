/** The system of a soak run: real entries and agents, and stand-ins of all that they speak to. */
import http from 'node:http';
import process from 'node:process';
import {delay, type Random} from '@yuccawood/common';
import {
	configurationOf, CONFIGURATION_KEY, EngineStandIn, JsonServer, OriginStandIn, readinessAddressOf, type RequestStandIn, StoreStandIn, type Run,
} from '@yuccawood/platform/testing';
import {NodeProcess} from './node-process.js';
import type {Interval} from './types.js';
import {SoakUpstream} from './upstreams.js';

/**
Entries and engines of the usual size. Each has a loopback address of its own, because peer ports are the same everywhere;
the network depends on the process id, so that runs do not meet.
*/
const ENTRIES = 3;
const ENGINES_COUNT = 4;
const PLAIN_COUNT = 2;

/** Host number of the first upstream; entries begin at 1. */
const UPSTREAM_HOSTS = 101;
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
	readonly runs = new Map<string, Run[]>();
	readonly #network = `127.${1 + (Math.floor(process.pid / 250) % 250)}.${process.pid % 250}`;
	readonly #random: Random;
	readonly #now: () => number;
	readonly #misses: number[] = [];
	#timer: NodeJS.Timeout | undefined;

	constructor({random, now}: {readonly random: Random; readonly now: () => number}) {
		this.#random = random;
		this.#now = now;
	}

	async start(): Promise<void> {
		await this.store.listen();
		await this.origin.listen();
		this.store.put(CONFIGURATION_KEY, this.configuration(1));
		const entryIps = Array.from({length: ENTRIES}, (_, index) => `${this.#network}.${index + 1}`);
		for (let i = 0; i < ENGINES_COUNT + PLAIN_COUNT; i++) {
			await this.#addUpstream(i, i < ENGINES_COUNT, entryIps);
		}

		for (const [index, ip] of entryIps.entries()) {
			const entry = new NodeProcess({
				vm: `entry-${index}`, ip, role: 'entry', storeAddress: this.store.address, entryIps, now: this.#now,
			});
			this.entries.push(entry);
			this.#misses.push(MISSES);
			await entry.start();
		}

		this.#timer = setInterval(() => {
			for (const index of this.entries.keys()) {
				void this.#askReadiness(index);
			}
		}, READINESS_INTERVAL_MS);
	}

	configuration(version: number): unknown {
		return configurationOf({version, originAddress: this.origin.address});
	}

	/** An entry that is ready, as the balancer sees it; any one when none is. */
	readonly chooseEntry = (): {readonly index: number; readonly ip: string} => {
		const all = [...this.entries.keys()];
		const ready = all.filter(index => this.#misses[index] < MISSES);
		const candidates = ready.length > 0 ? ready : all;
		const index = candidates[Math.floor(this.#random.next() * candidates.length)];
		return {index, ip: this.entries[index].ip};
	};

	async stopEntry(entry: NodeProcess): Promise<void> {
		await entry.stop();
	}

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
		await Promise.all([...this.entries, ...this.agents].map(async node => node.close()));
		await Promise.all(this.upstreams.map(async upstream => upstream.close()));
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
			id, isEngine, store: this.store, random: this.#random, target: {engine, plain},
			onRun: run => {
				this.runs.set(run.requestId, [...this.runs.get(run.requestId) ?? [], run]);
			},
		});
		if (engine) {
			engine.serve = upstream.requests.answer;
		}

		await upstream.start(ip);
		this.upstreams.push(upstream);
		if (isEngine) {
			const agent = new NodeProcess({
				vm: `agent-${index}`, ip, role: 'agent', storeAddress: this.store.address, entryIps, upstreamAddress: upstream.address, now: this.#now,
			});
			this.agents.push(agent);
			await agent.start();
		}
	}

	async #askReadiness(index: number): Promise<void> {
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
		this.#misses[index] = isReady ? 0 : this.#misses[index] + 1;
	}
}
