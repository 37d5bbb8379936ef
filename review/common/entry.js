/** Starts entries with the command of the deploy file, and stops them. */
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

/** A loopback network of this process, so that several runs do not meet. */
export const NETWORK = `127.${20 + (Math.floor(process.pid / 250) % 200)}.${1 + (process.pid % 250)}`;

const commandOf = role => {
	const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /^run = "(.*)"$/m.exec(section)[1].split(' ');
};

const settingsOf = ({name, ip, storeAddress, seeds, graceS = 8}) => `node=${name}
role=entry
machineClass=front
serves=front,control
ip=${ip}
zone=za
region=ra
zones.za=ra
listen.front=${ip}:${CALLER_PORT}
listen.ready=${ip}:${READY_PORT}
listen.control=${ip}:8000
portRange=7700,7715
seeds=${seeds.map(seed => `${seed}:8000`).join(',')}
bootstrap=true
limits.cpuShare=0.513
limits.cores=1
limits.memoryMb=350
limits.maxFds=4100
limits.linkMbps=1000.0
discovery=platform
entry=vip
beatMs=1200
bounds.stableMs=3000
bounds.drainMs=2000
bounds.graceS=${graceS}
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.revertMs=250
bounds.stretchMs=5000
bounds.budgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=104
bounds.recoverS=12
bounds.version_ms=8000
platform.address=${storeAddress}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`;

export class Entry {
	#child;
	#directory;
	#lines = [];

	/** @param index number of the entry; entries of one fleet have 0, 1 and so on */
	constructor({index, storeAddress, count}) {
		this.name = `front-${index + 1}`;
		this.ip = `${NETWORK}.${index + 1}`;
		this.callerAddress = {host: this.ip, port: CALLER_PORT};
		this.#directory = mkdtempSync(path.join(tmpdir(), 'yuccawood-review-'));
		const file = path.join(this.#directory, 'local.conf');
		const seeds = Array.from({length: count}, (_, other) => `${NETWORK}.${other + 1}`);
		writeFileSync(file, settingsOf({
			name: this.name, ip: this.ip, storeAddress, seeds,
		}));
		const [program, ...args] = commandOf('entry');
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

	/** Resident memory in MB, and the highest so far, as the kernel counts it. */
	get memory() {
		try {
			const status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
			const read = name => Number(new RegExp(String.raw`${name}:\s+(\d+)`).exec(status)?.[1] ?? 0) / 1024;
			return {residentMb: read('VmRSS'), peakMb: read('VmHWM')};
		} catch {
			return {residentMb: 0, peakMb: 0};
		}
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
