/** Starts the project's programs with the commands of the deploy file, in separate processes on loopback addresses. */
import {spawn} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {sleep, statusOf} from './http-tools.js';

/** The platform starts programs in the root of the repository. */
const ROOT = path.resolve(import.meta.dirname, '../..');
const PROGRAM = 'target/yuccawood-node.mjs';

/** Arguments of `node` in deploy/system.toml. */
const RUNTIME = {
	entry: ['--max-old-space-size=160', '--max-semi-space-size=4'],
	agent: ['--max-old-space-size=96', '--max-semi-space-size=2'],
};

/** Bounds of the small sites. */
export const BOUNDS = {
	seedLagS: 3, addrReuseS: 2, stableMs: 3000, ackMs: 4000, syncS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configMs: 2000, revertMs: 250, stretchMs: 5000,
	strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, retrySlack: 104, recoverS: 12, passMs: 120, retryAfterS: 0, version_ms: 8000, version_all_ms: 0, // eslint-disable-line camelcase
};

export class Program {
	lines = [];
	#options;
	#child;
	#directory;
	#exited;

	/** @param options `role`, `firstPort` (of 4 in a row: callers, readiness, two for peers), `storeAddress`, and for an agent `app` and `service` */
	constructor(options) {
		this.#options = {
			bounds: BOUNDS, zone: 'zone-a', region: 'region-a', ...options,
		};
	}

	get callerPort() {
		return this.#options.firstPort;
	}

	get readyPort() {
		return this.#options.firstPort + 1;
	}

	async start() {
		this.#directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-review-'));
		const file = path.join(this.#directory, 'local.conf');
		this.file = file;
		await this.writeSettings();
		this.#child = spawn('node', [...RUNTIME[this.#options.role], PROGRAM, this.#options.role], {
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, YUCCAWOOD_NODE_FILE: file,
			},
			cwd: ROOT,
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		for (const stream of [this.#child.stdout, this.#child.stderr]) {
			let rest = '';
			stream.setEncoding('utf8');
			stream.on('data', text => {
				const parts = (rest + text).split('\n');
				rest = parts.pop();
				this.lines.push(...parts);
			});
		}

		this.#exited = new Promise(resolve => {
			this.#child.once('exit', (code, signal) => {
				this.exit = {code, signal, at: Date.now()};
				resolve();
			});
		});
	}

	/** Writes the settings file, with other options in place of some of those before. */
	async writeSettings(changes = {}) {
		Object.assign(this.#options, changes);
		const {role, firstPort, storeAddress, zone, region, app, service, ip = '127.0.0.1', name = `${role}-1`, more = {}, bounds} = this.#options;
		const isEntry = role === 'entry';
		const lines = {
			node: name, role, machineClass: isEntry ? 'front' : 'side', serves: isEntry ? 'front,control' : 'side', ip, zone, region, [`zones.${zone}`]: region,
			...(isEntry
				? {'listen.front': `${ip}:${firstPort}`, 'listen.ready': `${ip}:${firstPort + 1}`}
				: {app, service}),
			portRange: `${firstPort + 2},${firstPort + 3}`, seeds: '', bootstrap: true, inFaultBudget: false,
			'limits.cpuShare': 0.513, 'limits.cores': 1, 'limits.memoryMb': isEntry ? 350 : 218, 'limits.maxFds': 4100, 'limits.linkMbps': isEntry ? 1000 : 6.58, 'limits.diskMb': 0,
			discovery: 'platform', entry: 'vip', beatMs: 1200,
			invariants: 'base,drain,config,cost,retry,recover,engine,stream,tenants,platform,chunks',
			'tolerate.machines': 1, 'tolerate.zones': 0, 'tolerate.regions': 0,
			...Object.fromEntries(Object.entries(bounds).map(([key, value]) => [`bounds.${key}`, value])),
			'platform.address': storeAddress, 'platform.form': 'kv', 'platform.writesPerS': 400, 'platform.readsPerS': 2000,
			'platform.historyS': 20, 'platform.valueBytes': 1_048_576, 'platform.ttlMinMs': 1000,
			...more,
		};
		await writeFile(this.file, Object.entries(lines).map(([key, value]) => `${key}=${value}\n`).join(''));
	}

	/** Resolves with whether the entry says that it is ready within this time. */
	async waitUntilReady(limitMs = 15_000) {
		const end = Date.now() + limitMs;
		while (Date.now() < end) {
			if (await statusOf(this.readyPort, '/ready') === 200) {
				return true;
			}

			await sleep(100);
		}

		return false;
	}

	signal(name) {
		this.#child.kill(name);
	}

	get pid() {
		return this.#child.pid;
	}

	get hasEnded() {
		return this.exit !== undefined;
	}

	/** Ends the process. */
	async close() {
		if (this.#child && !this.hasEnded) {
			this.#child.kill('SIGCONT');
			this.#child.kill('SIGKILL');
			await this.#exited;
		}

		if (this.#directory) {
			await rm(this.#directory, {recursive: true, force: true});
		}
	}
}
