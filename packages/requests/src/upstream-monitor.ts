/** Distinguishes a death of the upstream from a broken connection, and detects when the upstream can be reached again. */
import {connect} from 'node:net';
import type {Clock, Log, Metrics} from '@yuccawood/common';
import {CONNECT_TIMEOUT_MS, MAX_REPORTED_FINGERPRINTS, UPSTREAM_PROBE_INTERVAL_MS} from './constants.js';
import type {DeathReport} from './types.js';

export type UpstreamMonitorOptions = {
	readonly selfId: string;
	readonly incarnation: number;

	/** `IP:port` of the upstream. */
	readonly address: string;

	/** Fingerprints of the requests that are running at the upstream. */
	readonly running: () => readonly string[];

	/** An id that changes when the upstream process restarts; `undefined` when it is not known. */
	readonly upstreamIncarnation: () => Promise<string | undefined>;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};

const canConnect = async (address: string): Promise<boolean> => {
	const separator = address.lastIndexOf(':');
	return new Promise(resolve => {
		const socket = connect({host: address.slice(0, separator), port: Number(address.slice(separator + 1)), timeout: CONNECT_TIMEOUT_MS});
		const finish = (result: boolean): void => {
			socket.destroy();
			resolve(result);
		};

		socket.on('connect', () => {
			finish(true);
		});
		socket.on('timeout', () => {
			finish(false);
		});
		socket.on('error', () => {
			finish(false);
		});
	});
};

export class UpstreamMonitor {
	readonly #options: UpstreamMonitorOptions;
	readonly #stop = new AbortController();
	#isDown = false;

	/** Number of deaths so far; part of their ids. */
	#deathCount = 0;
	#knownIncarnation: string | undefined;
	#inspection: Promise<DeathReport | undefined> | undefined;
	/** The last report, which also applies to connections that break while the upstream is down. */
	#lastDeath: DeathReport | undefined;

	constructor(options: UpstreamMonitorOptions) {
		this.#options = options;
	}

	/** Whether the upstream accepts no connections. */
	get isDown(): boolean {
		return this.#isDown;
	}

	/** Fetches the incarnation of the upstream, which distinguishes a fast restart from a broken connection. */
	async start(): Promise<void> {
		this.#knownIncarnation = await this.#options.upstreamIncarnation();
	}

	close(): void {
		this.#stop.abort();
	}

	/** Checks after a broken connection whether the upstream died. @returns the report of the death, the same for all requests that it ended; `undefined` when the upstream is still running. */
	async inspect(): Promise<DeathReport | undefined> {
		if (this.#isDown) {
			return this.#lastDeath;
		}

		this.#inspection ??= this.#inspect();
		return this.#inspection;
	}

	/** Resolves when the inspection in progress, if any, has ended. */
	async waitForInspection(): Promise<void> {
		await this.#inspection;
	}

	async #inspect(): Promise<DeathReport | undefined> {
		const fingerprints = [...new Set(this.#options.running())].slice(0, MAX_REPORTED_FINGERPRINTS);
		try {
			const isUp = await canConnect(this.#options.address);
			const wasRestarted = isUp && await this.#wasRestarted();
			if (!isUp) {
				this.#startProbing();
			}

			return isUp && !wasRestarted ? undefined : this.#reportDeath(fingerprints);
		} finally {
			this.#inspection = undefined;
		}
	}

	async #wasRestarted(): Promise<boolean> {
		const known = this.#knownIncarnation;
		this.#knownIncarnation = await this.#options.upstreamIncarnation() ?? known;
		return known !== undefined && known !== this.#knownIncarnation;
	}

	#reportDeath(fingerprints: readonly string[]): DeathReport {
		const {selfId, incarnation, log, metrics} = this.#options;
		this.#deathCount++;
		log.error('The upstream died.', {requests: fingerprints.length});
		metrics.count('requests.upstream_deaths');
		this.#lastDeath = {deathId: `${selfId}:${incarnation}:${this.#deathCount}`, vm: selfId, fingerprints};
		return this.#lastDeath;
	}

	#startProbing(): void {
		if (this.#isDown) {
			return;
		}

		this.#isDown = true;
		void this.#probeUntilUp();
	}

	async #probeUntilUp(): Promise<void> {
		const {clock, address, log} = this.#options;
		while (!this.#stop.signal.aborted) {
			await clock.sleep(UPSTREAM_PROBE_INTERVAL_MS, this.#stop.signal);
			if (await canConnect(address)) {
				break;
			}
		}

		this.#knownIncarnation = await this.#options.upstreamIncarnation() ?? this.#knownIncarnation;
		this.#isDown = false;
		log.info('The upstream takes connections again.');
	}
}
