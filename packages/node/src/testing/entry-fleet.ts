/** Entries as real processes beside a stand-in of the store, and what a load balancer sees of them. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {SystemClock} from '@yuccawood/common';
import {
	callerAddressOf, CONFIGURATION_KEY, configurationItem, DEFAULT_FLEET_BOUNDS, PLAIN_SERVICE, readinessAddressOf, settingsEnvironment, settingsText, StoreStandIn, UPSTREAM_PREFIX, upstreamItem,
} from '@yuccawood/platform/testing';

/** Time from SIGTERM to SIGKILL. */
export const STOP_GRACE_MS = 8000;

/** Time until all entries are ready and listed, and then until each has read that the others are. */
const START_LIMIT_MS = 8000;
const LIST_READ_MS = 500;

const CHECK_INTERVAL_MS = 50;

const clock = new SystemClock();

/** Entries that are ready and that take connections at a moment. */
export type Sample = {readonly atMs: number; readonly ready: number; readonly accepting: number};

/** Whether the load balancer gets a 200. */
export const isReady = async (ip: string): Promise<boolean> => new Promise(resolve => {
	const request = http.get(`http://${readinessAddressOf(ip)}/ready`, {agent: false, timeout: 500}, response => {
		response.resume();
		resolve(response.statusCode === 200);
	});
	request.on('error', () => {
		resolve(false);
	});
	request.on('timeout', () => {
		request.destroy();
	});
});

const acceptsConnections = async (ip: string): Promise<boolean> => new Promise(resolve => {
	const [host, port] = callerAddressOf(ip).split(':');
	const socket = net.connect(Number(port), host, () => {
		socket.destroy();
		resolve(true);
	});
	socket.on('error', () => {
		resolve(false);
	});
});

export class EntryFleet {
	readonly store = new StoreStandIn();
	readonly #ips: readonly string[];
	readonly #upstreamAddress: string;
	readonly #stopGraceMs: number;
	readonly #entries = new Map<string, ChildProcess>();
	#directory = '';

	/** @param ips addresses of the entries @param upstreamAddress `IP:port` of the only upstream, which need not exist */
	constructor({ips, upstreamAddress = '127.0.0.1:1', stopGraceMs = STOP_GRACE_MS}: {readonly ips: readonly string[]; readonly upstreamAddress?: string; readonly stopGraceMs?: number}) {
		this.#ips = ips;
		this.#upstreamAddress = upstreamAddress;
		this.#stopGraceMs = stopGraceMs;
	}

	/** Starts all entries. @throws {Error} if they are not ready and listed in time */
	async start(): Promise<void> {
		await this.store.listen();
		this.#directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-entries-'));
		this.store.put(CONFIGURATION_KEY, configurationItem({version: 1, originAddress: '127.0.0.1:1'}));
		this.store.put(`${UPSTREAM_PREFIX}one`, upstreamItem({
			address: this.#upstreamAddress, service: PLAIN_SERVICE, version: undefined, startedAt: 1,
		}));
		await Promise.all(this.#ips.map(async ip => this.startEntry(ip)));
		const end = clock.monotonic() + START_LIMIT_MS;
		while (!this.#areListed || !await this.#areReady()) {
			if (clock.monotonic() > end) {
				throw new Error('The entries did not become ready in time.');
			}

			await clock.sleep(CHECK_INTERVAL_MS);
		}

		await clock.sleep(LIST_READ_MS);
	}

	async startEntry(ip: string): Promise<void> {
		await this.writeSettings(ip, {stopGraceMs: this.#stopGraceMs});
		this.#entries.set(ip, spawn(process.execPath, [fileURLToPath(new URL('../main.js', import.meta.url)), 'entry'], {
			env: {...process.env, ...settingsEnvironment(this.#settingsPath(ip))}, stdio: ['ignore', 'ignore', 'inherit'],
		}));
	}

	/** Writes the settings file of an entry, without a signal to it. */
	async writeSettings(ip: string, {stopGraceMs}: {readonly stopGraceMs: number}): Promise<void> {
		await writeFile(this.#settingsPath(ip), settingsText({
			vm: ip, ip, storeAddress: this.store.address, entryIps: this.#ips.filter(other => other !== ip), bounds: {...DEFAULT_FLEET_BOUNDS, stopGraceMs},
		}));
	}

	/** Sends SIGTERM. */
	stop(ip: string): void {
		this.#entries.get(ip)!.kill('SIGTERM');
	}

	async kill(ip: string): Promise<void> {
		const entry = this.#entries.get(ip)!;
		if (entry.exitCode === null && entry.signalCode === null) {
			entry.kill('SIGKILL');
			await once(entry, 'exit');
		}
	}

	/** Whether the process has ended. */
	hasEnded(ip: string): boolean {
		const {exitCode, signalCode} = this.#entries.get(ip)!;
		return exitCode !== null || signalCode !== null;
	}

	/** Lists another peer address for an entry, as its lease keeps it. */
	listAt(ip: string, address: string): void {
		this.store.put(`yuccawood/entries/${ip}`, address);
	}

	async sample(atMs: number): Promise<Sample> {
		const [ready, accepting] = await Promise.all([isReady, acceptsConnections].map(async check => Promise.all(this.#ips.map(async ip => check(ip)))));
		return {atMs, ready: ready.filter(Boolean).length, accepting: accepting.filter(Boolean).length};
	}

	/** Kills what still runs. */
	async close(): Promise<void> {
		await Promise.all([...this.#entries.keys()].map(async ip => this.kill(ip)));
		await this.store.close();
		await rm(this.#directory, {recursive: true});
	}

	#settingsPath(ip: string): string {
		return path.join(this.#directory, `${ip}.conf`);
	}

	async #areReady(): Promise<boolean> {
		const {ready} = await this.sample(0);
		return ready === this.#ips.length;
	}

	get #areListed(): boolean {
		return this.#ips.every(ip => this.store.read(`yuccawood/entries/${ip}`) !== undefined);
	}
}
