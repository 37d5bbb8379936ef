/** One VM of the soak: a real entry or agent that is killed, frozen, stopped and started again like the platform does. */
import {mkdtemp, readFile, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {delay} from '@yuccawood/common';
import {settingsEnvironment, settingsText, type FleetBounds} from '@yuccawood/platform/testing';
import {Child, programOf} from '../fleet/child.js';
import type {Interval} from './types.js';

const RESTART_PAUSE_MS = 200;

/** Time after a kill or a wake in which connections of before may still break. */
const AFTER_MS = 300;

/** Time to wait for a process that starts to catch SIGHUP. */
const CATCH_LIMIT_MS = 3000;
const CATCH_CHECK_MS = 10;

/** Log lines that tell a fault of the program itself. */
const FAULT_LINES = ['An error was not caught.', 'A promise was rejected without a handler.', 'A request failed inside the gateway.'];

/** Flags of Node.js as in deploy/system.toml. */
const RUNTIME_FLAGS = {
	entry: '--max-old-space-size=160 --max-semi-space-size=4',
	agent: '--max-old-space-size=96 --max-semi-space-size=2',
} as const;

/** Whether the kernel hands SIGHUP, the lowest bit of the mask, to the process. */
const catchesReload = async (pid: number): Promise<boolean> => {
	try {
		const status = await readFile(`/proc/${pid}/status`, 'utf8');
		const mask = /^SigCgt:\s+([\da-f]+)$/m.exec(status)?.[1] ?? '0';
		return Number.parseInt(mask.at(-1)!, 16) % 2 === 1;
	} catch {
		// The process has ended meanwhile.
		return false;
	}
};

export type NodeProcessOptions = Parameters<typeof settingsText>[0] & {
	readonly role: 'entry' | 'agent';
	readonly bounds: FleetBounds;

	/** Told all that the process writes. */
	readonly onOutput: ((text: string) => void) | undefined;
	readonly now: () => number;
};

export class NodeProcess {
	/** Times in which connections may break: the process was killed or frozen. */
	readonly excuses: Interval[] = [];

	/** Times in which the process was off, stopping, frozen or starting. */
	readonly disturbances: Interval[] = [];

	/** Times of SIGTERM. */
	readonly stops: number[] = [];

	/** Ends that nobody asked for, and lines that tell a fault. */
	readonly faults: string[] = [];
	readonly #options: NodeProcessOptions;
	#file = '';
	#child: Child | undefined;
	#isAskedToEnd = false;
	#isClosed = false;
	#offUntil = 0;
	#awayMs = 0;

	constructor(options: NodeProcessOptions) {
		this.#options = options;
	}

	get name(): string {
		return this.#options.vm;
	}

	get ip(): string {
		return this.#options.ip;
	}

	get pid(): number | undefined {
		return this.#child?.isRunning ? this.#child.pid : undefined;
	}

	async start(): Promise<void> {
		const directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-platform-soak-'));
		this.#file = path.join(directory, 'node.conf');
		await writeFile(this.#file, settingsText(this.#options));
		void this.#keepRunning();
	}

	/** SIGKILL; the platform starts the process again, after a loss of power once it is back. */
	kill(offMs = 0): void {
		const now = this.#options.now();
		this.#isAskedToEnd = true;
		this.#offUntil = Math.max(this.#offUntil, now + offMs);
		this.excuses.push({from: now, to: now + AFTER_MS});
		this.disturbances.push({from: now, to: now + AFTER_MS});
		this.#child?.signal('SIGKILL');
	}

	/** SIGTERM, and SIGKILL when the grace is over. @param awayMs time from its end until it is started again */
	async stop(awayMs = 0): Promise<void> {
		const child = this.#child;
		const from = this.#options.now();
		this.#isAskedToEnd = true;
		this.#awayMs = awayMs;
		this.stops.push(from);
		child?.signal('SIGTERM');
		await Promise.race([child?.exited, delay(this.#options.bounds.stopGraceMs)]);
		const wasFrozen = this.excuses.some(excuse => excuse.to >= from);
		if (child?.isRunning && child === this.#child) {
			if (!wasFrozen) {
				this.faults.push('did not end within its grace');
			}

			this.kill();
		}

		this.disturbances.push({from, to: this.#options.now()});
	}

	async freeze(milliseconds: number): Promise<void> {
		const child = this.#child;
		const from = this.#options.now();
		child?.signal('SIGSTOP');
		await delay(milliseconds);
		child?.signal('SIGCONT');
		const frozen = {from, to: this.#options.now() + AFTER_MS};
		this.excuses.push(frozen);
		this.disturbances.push(frozen);
	}

	/** SIGHUP. Until the first line of a program runs, Node.js catches no signal, and one ends it whatever the program is. */
	async reload(): Promise<void> {
		const child = this.#child;
		const until = this.#options.now() + CATCH_LIMIT_MS;
		while (child?.isRunning && this.#options.now() < until && !await catchesReload(child.pid)) {
			await delay(CATCH_CHECK_MS);
		}

		child?.signal('SIGHUP');
	}

	/** The last lines that the process wrote. */
	get lines(): readonly string[] {
		return this.#child?.lines ?? [];
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#isAskedToEnd = true;
		this.#child?.signal('SIGCONT');
		await this.#child?.stop(this.#options.bounds.stopGraceMs);
	}

	async #keepRunning(): Promise<void> {
		const {role, now} = this.#options;
		let offFrom = now();
		while (!this.#isClosed) {
			const child = new Child({
				name: this.name, script: programOf('node'), args: [role],
				environment: {...settingsEnvironment(this.#file), NODE_OPTIONS: RUNTIME_FLAGS[role]},
				onOutput: this.#options.onOutput,
			});
			this.#child = child;
			this.#isAskedToEnd = false;
			this.disturbances.push({from: offFrom, to: now()});
			await child.exited;
			offFrom = now();
			this.faults.push(...child.lines.filter(line => FAULT_LINES.some(text => line.includes(text))));
			if (!this.#isAskedToEnd) {
				this.faults.push(`ended by itself with code ${child.exitCode}: ${child.lines.at(-1) ?? ''}`);
			}

			await delay(Math.max(RESTART_PAUSE_MS, this.#awayMs, this.#offUntil - now()));
			this.#awayMs = 0;
		}
	}
}
