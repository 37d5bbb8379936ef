/** Reads the report feeds of agents, with one task and one connection per agent. */
import http from 'node:http';
import {
	delay, describeError, type Clock, type Log, type Metrics, type Random,
} from '@yuccawood/common';
import type {UpstreamReport} from '@yuccawood/fleet';
import {
	CONNECT_TIMEOUT_MS, FEED_PATH, FEED_TIMEOUT_MS, MAX_LINE_CHARACTERS, MAX_RECONNECT_PAUSE_MS, MIN_RECONNECT_PAUSE_MS,
} from './constants.js';

export type ReportReaderOptions = {
	readonly onReport: (report: UpstreamReport) => void;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;
};

/** An engine that is slower still answers nothing in time. */
const MAX_PACE = 1000;

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** Whether a decoded line of a feed is a valid report. */
const isReport = (value: unknown): value is UpstreamReport => {
	const report = value as Partial<UpstreamReport> | undefined;
	return typeof report?.address === 'string' && isCount(report.running) && isCount(report.waiting)
		&& typeof report.isSwitching === 'boolean' && typeof report.pace === 'number' && report.pace >= 0 && report.pace <= MAX_PACE
		&& (report.version === undefined || isCount(report.version));
};

export class ReportReader {
	readonly #options: ReportReaderOptions;
	readonly #log: Log;
	readonly #feedTasks = new Map<string, AbortController>();

	constructor(options: ReportReaderOptions) {
		this.#options = options;
		this.#log = options.log.part('reports');
	}

	/** Sets the agents whose feeds are read, by peer address `IP:port`. Connections to other agents are closed. */
	follow(addresses: readonly string[]): void {
		const wanted = new Set(addresses);
		for (const [address, task] of this.#feedTasks) {
			if (!wanted.has(address)) {
				task.abort();
				this.#feedTasks.delete(address);
			}
		}

		for (const address of wanted) {
			if (!this.#feedTasks.has(address)) {
				const task = new AbortController();
				this.#feedTasks.set(address, task);
				void this.#followFeed(address, task.signal);
			}
		}
	}

	close(): void {
		this.follow([]);
	}

	async #followFeed(address: string, signal: AbortSignal): Promise<void> {
		const {clock, random, metrics} = this.#options;
		let failures = 0;
		while (!signal.aborted) {
			const startedAt = clock.monotonic();
			const error = await this.#endOfConnection(address, signal);
			if (signal.aborted) {
				return;
			}

			// A connection that lasted shows that the agent was running, so start with short pauses again.
			failures = clock.monotonic() - startedAt > FEED_TIMEOUT_MS ? 0 : failures + 1;
			metrics.count('reports.lost_feeds');
			if (failures <= 1) {
				this.#log.info('The report feed of an agent ended; reconnecting. Until then its upstream is assessed by its responses and the upstream list only.', {
					agent: address, error: describeError(error),
				});
			}

			await delay(Math.min(MAX_RECONNECT_PAUSE_MS, MIN_RECONNECT_PAUSE_MS * (2 ** failures)) * (0.5 + random.next()), signal);
		}
	}

	/** @returns the reason for the end of one connection, also when none can be made to the address */
	async #endOfConnection(address: string, signal: AbortSignal): Promise<unknown> {
		try {
			return await this.#readConnection(address, signal);
		} catch (error) {
			return error;
		}
	}

	/** Reads the feed over one connection until it ends. @returns the reason for the end */
	async #readConnection(address: string, signal: AbortSignal): Promise<Error> {
		return new Promise(resolve => {
			let partial = '';
			let timer: NodeJS.Timeout | undefined;
			const [host, port] = address.split(':');
			const request = http.get({
				host, port, path: FEED_PATH, agent: false, signal,
			}, response => {
				response.setEncoding('utf8');
				response.on('data', (text: string) => {
					restartTimeout(FEED_TIMEOUT_MS);
					const lines = (partial + text).split('\n');
					partial = lines.pop()!;
					if (partial.length > MAX_LINE_CHARACTERS) {
						finish(new Error(`a line exceeds ${MAX_LINE_CHARACTERS} characters`));
					} else if (!this.#processLastLine(lines)) {
						finish(new Error('a line is not a valid report'));
					}
				});
				response.on('end', () => {
					finish(new Error('the agent closed the feed'));
				});
				response.on('error', finish);
			});
			const finish = (error: Error): void => {
				clearTimeout(timer);
				request.destroy();
				resolve(error);
			};

			const restartTimeout = (milliseconds: number): void => {
				clearTimeout(timer);
				timer = setTimeout(() => {
					finish(new Error(`nothing arrived for ${milliseconds} ms`));
				}, milliseconds);
			};

			restartTimeout(CONNECT_TIMEOUT_MS);
			request.on('error', finish);
		});
	}

	/** Processes the newest of several lines that arrived together; older ones are outdated. @returns whether it was a valid report */
	#processLastLine(lines: readonly string[]): boolean {
		const line = lines.at(-1);
		if (line === undefined) {
			return true;
		}

		try {
			const report: unknown = JSON.parse(line);
			if (isReport(report)) {
				this.#options.onReport(report);
				return true;
			}
		} catch {
			// Logged below like any other invalid line.
		}

		this.#options.metrics.count('reports.unreadable_lines');
		this.#log.warn('An agent sent a line that is not a valid report; closing its feed.', {line: line.slice(0, 80)});
		return false;
	}
}
