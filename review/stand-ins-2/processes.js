/** Starts entries and agents as separate processes, with the commands of the deploy file and the settings of a small deployment. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
export const CALLER_PORT = 8005;
const READINESS_PORT = 8002;
const PEER_PORT = 7700;
const START_LIMIT_MS = 20_000;

/** Time between SIGTERM and SIGKILL of the platform. */
export const GRACE_MS = 8000;

const COMMANDS = {
	entry: ['--max-old-space-size=160', '--max-semi-space-size=4', 'target/yuccawood-node.mjs', 'entry'],
	agent: ['--max-old-space-size=96', '--max-semi-space-size=2', 'target/yuccawood-node.mjs', 'agent'],
};
const ZONES = [['bergamo', 'lombardia'], ['treviso', 'veneto'], ['biella', 'piemonte']];

/** Place of a machine by its number among those of its class. */
export const zoneOf = index => ZONES[index % ZONES.length][0];

const agentSettings = worker => `role=agent
machineClass=side
serves=side
limits.cpuShare=0.81
limits.memoryMb=218
limits.maxFds=1494
limits.linkMbps=6.58
app=${worker.address}
service=${worker.beat.service}
`;

const entrySettings = ip => `role=entry
machineClass=front
serves=front,control
limits.cpuShare=0.513
limits.memoryMb=350
limits.maxFds=4200
limits.linkMbps=1000.0
listen.front=${ip}:${CALLER_PORT}
listen.ready=${ip}:${READINESS_PORT}
listen.control=${ip}:8000
`;

/** Settings file. The figures are those of the installation that the case names. */
const settingsText = ({name, ip, index, storeAddress, seeds, worker}) => {
	const [zone, region] = ZONES[index % ZONES.length];
	const own = worker ? agentSettings(worker) : entrySettings(ip);
	return `
node=${name}
ip=${ip}
zone=${zone}
region=${region}
${ZONES.map(([other, itsRegion]) => `zones.${other}=${itsRegion}`).join('\n')}
portRange=7700,7715
seeds=${seeds.map(seed => `${seed}:8000`).join(',')}
bootstrap=true
limits.cores=1
limits.diskMb=0
discovery=platform
entry=vip
beatMs=1200
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
${Object.entries(BOUNDS).map(([bound, value]) => `bounds.${bound}=${value}`).join('\n')}
platform.address=${storeAddress}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
${own}`.trimStart();
};

const BOUNDS = {
	seedLagS: 3, addrReuseS: 2, stableMs: 3000, ackMs: 4000, syncS: 4, drainMs: 2000, graceS: GRACE_MS / 1000, lossSlackMs: 200, configMs: 2000, revertMs: 250,
	stretchMs: 5000, strictRevoke: false, revokeMs: 5000, budgetRatio: 0.2, budgetWindowS: 10, retrySlack: 100, recoverS: 12, passMs: 120, retryAfterS: 0,
	version_ms: 8000, version_all_ms: 0, // eslint-disable-line camelcase
};

const isPortFree = async (ip, port) => new Promise(resolve => {
	const server = net.createServer();
	server.once('error', () => resolve(false));
	server.listen(port, ip, () => {
		server.close(() => resolve(true));
	});
});

const MAX_MACHINES = 30;

/** @returns the start of a loopback network on whose first addresses the fixed ports are free */
export const freeNetwork = async () => {
	for (let attempt = 0; attempt < 100; attempt++) {
		const network = `127.${60 + ((process.pid + attempt) % 150)}.${(process.pid + (attempt * 7)) % 250}`;
		const hosts = Array.from({length: MAX_MACHINES}, (_, index) => `${network}.${index + 1}`);
		const probes = await Promise.all(hosts.flatMap(ip => [CALLER_PORT, READINESS_PORT, PEER_PORT, PEER_PORT + 1].map(async port => isPortFree(ip, port))));
		if (probes.every(Boolean)) {
			return network;
		}
	}

	throw new Error('no loopback network has its ports free');
};

/** Asks as the platform does. */
const isReady = async ip => new Promise(resolve => {
	const request = http.get({
		host: ip, port: READINESS_PORT, path: '/ready', agent: false, timeout: 1000,
	}, response => {
		response.resume();
		resolve(response.statusCode === 200);
	});
	request.on('timeout', () => request.destroy());
	request.on('error', () => resolve(false));
});

const waitUntil = async (holds, what) => {
	const until = performance.now() + START_LIMIT_MS;
	while (!await holds()) {
		if (performance.now() > until) {
			throw new Error(`${what} within ${START_LIMIT_MS} ms`);
		}

		await sleep(100);
	}
};

/** Entries, and an agent beside each worker. */
export class Processes {
	#processes = new Map();
	#directory;
	/** IP addresses of the entries. */
	entryIps = [];

	/** @param options.workers workers with their IP addresses, on each of which an agent is started */
	async start({network, entryCount, workers, storeAddress}) {
		this.#directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-review-'));
		this.entryIps = Array.from({length: entryCount}, (_, index) => `${network}.${index + 1}`);
		const shared = {storeAddress, seeds: this.entryIps};
		for (const [index, ip] of this.entryIps.entries()) {
			await this.#start('entry', {
				...shared, name: `front-${index}`, ip, index,
			});
		}

		for (const [index, {ip, worker}] of workers.entries()) {
			await this.#start('agent', {
				...shared, name: `side-${index}`, ip, index, worker,
			});
		}

		for (const ip of this.entryIps) {
			await waitUntil(async () => isReady(ip), `the entry at ${ip} is not ready`);
		}

		for (const {ip} of workers) {
			await waitUntil(async () => !await isPortFree(ip, PEER_PORT), `the agent at ${ip} does not listen`);
		}
	}

	/** SIGTERM, and SIGKILL when the grace is over. Resolves when the process has ended. */
	async stop(name) {
		const {child} = this.#processes.get(name);
		child.kill('SIGTERM');
		const kill = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
		if (child.exitCode === null && child.signalCode === null) {
			await once(child, 'exit');
		}

		clearTimeout(kill);
	}

	/** What an entry wrote about a request. */
	linesAbout(name, id) {
		return this.#processes.get(name).output.split('\n').filter(line => line.includes(`"${id}"`));
	}

	/** Ends all processes. */
	async close() {
		await Promise.all([...this.#processes.values()].map(async ({child}) => {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}
		}));
		if (this.#directory) {
			await rm(this.#directory, {recursive: true});
		}
	}

	async #start(role, settings) {
		const file = path.join(this.#directory, `${settings.name}.conf`);
		await writeFile(file, settingsText(settings));
		const child = spawn(process.execPath, COMMANDS[role], {cwd: ROOT, env: {PATH: process.env.PATH, HOME: process.env.HOME, YUCCAWOOD_NODE_FILE: file}, stdio: ['ignore', 'pipe', 'pipe']});
		const started = {child, output: ''};
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', data => {
				started.output += String(data);
			});
		}

		this.#processes.set(settings.name, started);
	}
}
