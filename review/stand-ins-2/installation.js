/** A small deployment: a store, an origin of weights, model workers with their agents, and entries; and the record of a case. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {freeNetwork, Processes, zoneOf} from './processes.js';
import {Store} from './store.js';
import {configuration, ModelWorker, Origin} from './worker.js';

/** Host numbers of the store and the origin, and of the first worker. Entries begin at 1. */
const STORE_HOST = 28;
const ORIGIN_HOST = 29;
const FIRST_WORKER_HOST = 11;

/** Time for the entries to read what the agents have told them. */
const SETTLE_MS = 2000;

export class Installation {
	store = new Store();
	origin = new Origin();
	processes = new Processes();
	workers = [];
	runs = [];
	#startedAt = performance.now();
	#lines = [];

	/** @param workerOptions further options of each worker, by its number */
	async start({entryCount, workerCount, workerOptions = () => ({})}) {
		const network = await freeNetwork();
		await this.store.start(`${network}.${STORE_HOST}`);
		await this.origin.start(`${network}.${ORIGIN_HOST}`);
		this.store.put('op/config', configuration(this.origin.address));
		const machines = [];
		for (let index = 0; index < workerCount; index++) {
			const [id, ip] = [`w-${index}`, `${network}.${FIRST_WORKER_HOST + index}`];
			const worker = new ModelWorker({
				...workerOptions(index), id, zone: zoneOf(index), service: 'pool', note: (request, what, first) => {
					this.runs.push({
						request, what, first, worker: id, at: performance.now(),
					});
					this.record(`worker ${id}: request ${request} ${what}, from event ${first}`);
				},
			});
			await worker.start(ip);
			this.store.put(`servers/${id}`, worker.beat);
			this.workers.push(worker);
			machines.push({ip, worker});
		}

		await this.processes.start({
			network, entryCount, workers: machines, storeAddress: this.store.address,
		});
		await sleep(SETTLE_MS);
	}

	record(line) {
		this.#lines.push(`${((performance.now() - this.#startedAt) / 1000).toFixed(3)} ${line}`);
	}

	recordResult({id, route, events, status, isComplete, isReused, error, sentAt, endedAt, numbers}) {
		const range = numbers.length > 0 ? `events ${numbers[0]} to ${numbers.at(-1)}` : 'no events';
		const asked = `${route}, ${events} events, ${isReused ? 'kept' : 'new'} channel, sent at ${((sentAt - this.#startedAt) / 1000).toFixed(3)}`;
		const end = isComplete ? 'complete' : `cut (${error})`;
		this.record(`client: request ${id} (${asked}): after ${Math.round(endedAt - sentAt)} ms ${status ?? 'no answer'}, ${end}, ${numbers.length} events, ${range}`);
	}

	writeRecord(file) {
		writeFileSync(file, `${this.#lines.join('\n')}\n`);
	}

	async close() {
		await this.processes.close();
		await Promise.all([...this.workers, this.store, this.origin].map(async server => server.close()));
	}
}

/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export const runCase = async (file, act) => {
	const installation = new Installation();
	let exitCode = 2;
	try {
		const violations = await act(installation);
		for (const violation of violations) {
			installation.record(`BROKEN ${violation}`);
		}

		installation.record(violations.length > 0 ? `the rule was broken ${violations.length} times` : 'the rule held');
		exitCode = violations.length > 0 ? 1 : 0;
	} catch (error) {
		installation.record(`the case could not run: ${error.stack}`);
	} finally {
		await installation.close();
		installation.writeRecord(file);
	}

	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit
};
