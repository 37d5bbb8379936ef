/** One VM of the soak: a real entry or agent that is killed, frozen, stopped and started again like the platform does. */
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {delay} from '@yuccawood/common';
import {settingsEnvironment, settingsText} from '@yuccawood/platform/testing';
import {Child, programOf} from '../fleet/child.js';
import type {Interval} from './types.js';

const RESTART_PAUSE_MS = 200;

/** Time after a kill or a wake in which connections of before may still break. */
const AFTER_MS = 300;

/** Time from SIGTERM to SIGKILL; the settings name it in seconds. */
const STOP_GRACE_MS = 6000;

/** Log lines that tell a fault of the program itself. */
const FAULT_LINES = ['An error was not caught.', 'A promise was rejected without a handler.', 'A request failed inside the gateway.'];

export type NodeProcessOptions = Parameters<typeof settingsText>[0] & {
	readonly role: 'entry' | 'agent';
	readonly now: () => number;
};

export class NodeProcess {
	readonly excuses: Interval[] = [];

	/** Ends that nobody asked for, and lines that tell a fault. */
	readonly faults: string[] = [];
	readonly #options: NodeProcessOptions;
	#file = '';
	#child: Child | undefined;
	#isAskedToEnd = false;
	#isClosed = false;

	constructor(options: NodeProcessOptions) {
		this.#options = options;
	}

	get name(): string {
		return this.#options.vm;
	}

	get ip(): string {
		return this.#options.ip;
	}

	async start(): Promise<void> {
		const directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-platform-soak-'));
		this.#file = path.join(directory, 'node.conf');
		await writeFile(this.#file, settingsText(this.#options));
		void this.#keepRunning();
	}

	/** SIGKILL; the platform starts the process again. */
	kill(): void {
		this.#isAskedToEnd = true;
		this.excuses.push({from: this.#options.now(), to: this.#options.now() + AFTER_MS});
		this.#child?.signal('SIGKILL');
	}

	/** SIGTERM, and SIGKILL when the grace is over. */
	async stop(): Promise<void> {
		const child = this.#child;
		this.#isAskedToEnd = true;
		child?.signal('SIGTERM');
		await Promise.race([child?.exited, delay(STOP_GRACE_MS)]);
		if (child?.isRunning) {
			this.faults.push('did not end within its grace');
			this.kill();
		}
	}

	async freeze(milliseconds: number): Promise<void> {
		const child = this.#child;
		const from = this.#options.now();
		child?.signal('SIGSTOP');
		await delay(milliseconds);
		child?.signal('SIGCONT');
		this.excuses.push({from, to: this.#options.now() + AFTER_MS});
	}

	reload(): void {
		this.#child?.signal('SIGHUP');
	}

	/** The last lines that the process wrote. */
	get lines(): readonly string[] {
		return this.#child?.lines ?? [];
	}

	async close(): Promise<void> {
		this.#isClosed = true;
		this.#isAskedToEnd = true;
		this.#child?.signal('SIGCONT');
		await this.#child?.stop(STOP_GRACE_MS);
	}

	async #keepRunning(): Promise<void> {
		while (!this.#isClosed) {
			const child = new Child({
				name: this.name, script: programOf('node'), args: [this.#options.role], environment: settingsEnvironment(this.#file),
			});
			this.#child = child;
			this.#isAskedToEnd = false;
			await child.exited;
			this.faults.push(...child.lines.filter(line => FAULT_LINES.some(text => line.includes(text))));
			if (!this.#isAskedToEnd) {
				this.faults.push(`ended by itself with code ${child.exitCode}: ${child.lines.at(-1) ?? ''}`);
			}

			await delay(RESTART_PAUSE_MS);
		}
	}
}
