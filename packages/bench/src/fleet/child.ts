/** Child processes of a measurement or a test. The product itself starts no process. */
import {spawn, type ChildProcess} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {delay, TypedError} from '@yuccawood/common';

const MAX_KEPT_LINES = 400;

/** Exit code reported for a process that a signal ended. */
const KILLED_EXIT_CODE = 128;

/** Clock ticks a second in /proc/PID/stat. */
const CLOCK_TICKS_PER_SECOND = 100;

export type ChildOptions = {
	readonly name: string;
	readonly script: string;
	readonly args: readonly string[];

	/** Variables added to the environment. */
	readonly environment?: Readonly<Record<string, string>>;

	/** Told all that the process writes, for logs that outlive the kept lines. */
	readonly onOutput?: (text: string) => void;
};

/** Path of a compiled program of a workspace package. */
export const programOf = (packageName: string): string =>
	fileURLToPath(new URL(`../../../${packageName}/dist/main.js`, import.meta.url));

/** A process started by this one. */
export class Child {
	readonly name: string;
	readonly args: readonly string[];

	/** Resolves when the process has ended. */
	readonly exited: Promise<void>;
	readonly #process: ChildProcess;
	readonly #onOutput: ((text: string) => void) | undefined;
	readonly #lines: string[] = [];
	#exitCode: number | undefined;

	constructor({name, script, args, environment = {}, onOutput}: ChildOptions) {
		this.name = name;
		this.args = args;
		this.#onOutput = onOutput;
		this.#process = spawn(process.execPath, ['--enable-source-maps', script, ...args], {stdio: ['ignore', 'pipe', 'pipe'], env: {...process.env, ...environment}});
		this.#process.stdout?.on('data', data => {
			this.#keep(String(data));
		});
		this.#process.stderr?.on('data', data => {
			this.#keep(String(data));
		});
		this.exited = new Promise(resolve => {
			// 'close' comes after the last output was read.
			this.#process.on('close', (code, signal) => {
				this.#exitCode = code ?? (signal ? KILLED_EXIT_CODE : 0);
				resolve();
			});
		});
	}

	get pid(): number {
		return this.#process.pid ?? 0;
	}

	get isRunning(): boolean {
		return this.#exitCode === undefined;
	}

	get exitCode(): number | undefined {
		return this.#exitCode;
	}

	/** The last lines that the process wrote. */
	get lines(): readonly string[] {
		return this.#lines;
	}

	signal(name: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGHUP'): void {
		if (this.isRunning) {
			this.#process.kill(name);
		}
	}

	/** Ends the process: SIGTERM, and SIGKILL when it has not ended after the limit. @returns the exit code. */
	async stop(limitMs = 10_000): Promise<number> {
		if (this.#exitCode !== undefined) {
			return this.#exitCode;
		}

		this.signal('SIGTERM');
		const timer = setTimeout(() => {
			this.signal('SIGKILL');
		}, limitMs);
		await this.exited;
		clearTimeout(timer);
		return this.#exitCode ?? 0;
	}

	async kill(): Promise<void> {
		if (!this.isRunning) {
			return;
		}

		this.signal('SIGKILL');
		await this.exited;
	}

	/** Resident memory in bytes and processor time in seconds, read from /proc. */
	async usage(): Promise<{readonly residentBytes: number; readonly cpuSeconds: number}> {
		const status = await readFile(`/proc/${this.pid}/status`, 'utf8');
		const stat = await readFile(`/proc/${this.pid}/stat`, 'utf8');
		const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
		const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
		return {residentBytes: residentKb * 1024, cpuSeconds: (Number(fields[11]) + Number(fields[12])) / CLOCK_TICKS_PER_SECOND};
	}

	#keep(text: string): void {
		this.#onOutput?.(text);
		this.#lines.push(...text.split('\n').filter(line => line !== ''));
		this.#lines.splice(0, Math.max(0, this.#lines.length - MAX_KEPT_LINES));
	}
}

/** Waits until the check holds. @throws {TypedError} of kind `timeout` with the subject. */
export const waitUntil = async (check: () => boolean | Promise<boolean>, {subject, limitMs = 15_000, pauseMs = 25}: {
	readonly subject: string;
	readonly limitMs?: number;
	readonly pauseMs?: number;
}): Promise<void> => {
	const deadline = performance.now() + limitMs;
	while (!await check()) {
		if (performance.now() > deadline) {
			throw new TypedError({kind: 'timeout', detail: `Waited ${limitMs} ms for: ${subject}.`, remedy: 'Read the output of the processes.'});
		}

		await delay(pauseMs);
	}
};
