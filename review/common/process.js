/** Starts entries and agents with the commands of the deploy file, and stops them. */
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));

const CALLER_PORT = 8005;
const READY_PORT = 8002;
const METRICS_PORT = 7701;

/** A loopback network of this process, so that several runs do not meet. */
export const NETWORK = `127.${20 + (Math.floor(process.pid / 250) % 200)}.${1 + (process.pid % 250)}`;

const commandOf = role => {
	const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /^run = "(.*)"$/m.exec(section)[1].split(' ');
};

/** Zones and their regions. */
const ZONES = {za: 'ra', zb: 'rb', zc: 'rc'};
export const ZONE_NAMES = Object.keys(ZONES);

const ROLE_SETTINGS = {
	entry: ({ip}) => `role=entry
machineClass=front
serves=front,control
listen.front=${ip}:${CALLER_PORT}
listen.ready=${ip}:${READY_PORT}
listen.control=${ip}:8000
limits.cpuShare=0.513
limits.memoryMb=350
limits.maxFds=4100
limits.linkMbps=1000.0`,
	agent: ({app, service}) => `role=agent
machineClass=side
serves=side
app=${app}
service=${service}
limits.cpuShare=0.81
limits.memoryMb=218
limits.maxFds=1494
limits.linkMbps=6.58`,
};

const settingsOf = (role, options) => `node=${options.name}
${ROLE_SETTINGS[role](options)}
ip=${options.ip}
zone=${options.zone}
region=${ZONES[options.zone]}
${Object.entries(ZONES).map(([zone, region]) => `zones.${zone}=${region}`).join('\n')}
portRange=7700,7715
seeds=${options.seeds.map(seed => `${seed}:8000`).join(',')}
bootstrap=true
limits.cores=1
discovery=platform
entry=vip
beatMs=1200
bounds.stableMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.revertMs=250
bounds.stretchMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=104
bounds.recoverS=12
bounds.version_ms=8000
platform.address=${options.storeAddress}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`;

class NodeProcess {
	#child;
	#directory;
	#lines = [];

	constructor(role, {name, ip, ...options}) {
		this.name = name;
		this.ip = ip;
		this.#directory = mkdtempSync(path.join(tmpdir(), 'yuccawood-review-'));
		const file = path.join(this.#directory, 'local.conf');
		writeFileSync(file, settingsOf(role, {name, ip, ...options}));
		const [program, ...args] = commandOf(role);
		this.#child = spawn(program, args, {
			cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'],
			env: {PATH: process.env.PATH, HOME: process.env.HOME, YUCCAWOOD_NODE_FILE: file},
		});
		for (const output of [this.#child.stdout, this.#child.stderr]) {
			output.on('data', bytes => {
				this.#lines.push(...String(bytes).split('\n').filter(line => line !== ''));
			});
		}

		this.exited = new Promise(resolve => {
			this.#child.once('exit', (code, signal) => {
				this.ended = {code, signal};
				resolve();
			});
		});
	}

	get pid() {
		return this.#child.pid;
	}

	/** The log lines with one of these messages. */
	linesWith(...messages) {
		return this.#lines.filter(line => messages.some(message => line.includes(message)));
	}

	/** The lines of its metrics whose name contains the part. */
	async metricsWith(part) {
		const response = await fetch(`http://${this.ip}:${METRICS_PORT}/metrics`);
		const text = await response.text();
		return text.split('\n').filter(line => !line.startsWith('#') && line.split(/[{ ]/, 1)[0].includes(part));
	}

	signal(name) {
		if (!this.ended) {
			this.#child.kill(name);
		}
	}

	async close() {
		this.signal('SIGCONT');
		this.signal('SIGKILL');
		await this.exited;
		rmSync(this.#directory, {recursive: true, force: true});
	}
}

export class Entry extends NodeProcess {
	callerAddress = {host: this.ip, port: CALLER_PORT};

	constructor(options) {
		super('entry', options);
	}

	async isReady() {
		return new Promise(resolve => {
			const request = http.get({
				host: this.ip, port: READY_PORT, path: '/ready', agent: false, timeout: 500,
			}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			request.on('timeout', () => {
				request.destroy();
			});
			request.on('error', () => {
				resolve(false);
			});
		});
	}
}

/** Agent of the engine at `app` (`IP:port`), whose IP address it shares. */
export class Agent extends NodeProcess {
	constructor(options) {
		super('agent', options);
	}
}

/** Waits until all entries are ready. @throws {Error} after 20 s */
export const untilReady = async entries => {
	const end = performance.now() + 20_000;
	while (performance.now() < end) {
		const ready = await Promise.all(entries.map(async entry => entry.isReady()));
		if (ready.every(Boolean)) {
			return;
		}

		await pause(100);
	}

	throw new Error('not all entries became ready');
};
