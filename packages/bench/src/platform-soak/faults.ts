/** Faults of a soak run, drawn one after the other; several may last at the same time. */
import {delay, type Random} from '@yuccawood/common';
import {
	CONFIGURATION_KEY, VERSION_PREFIX, namedVersion, MODEL, type StoreFault,
} from '@yuccawood/platform/testing';
import type {SoakFleet} from './soak-fleet.js';

const PAUSE_MS = 700;
const LONGEST_MS = 1800;

export class Faults {
	readonly #fleet: SoakFleet;
	readonly #random: Random;
	readonly #report: (line: string) => void;
	#version = 1;
	#configuration = 1;

	constructor({fleet, random, report}: {readonly fleet: SoakFleet; readonly random: Random; readonly report: (line: string) => void}) {
		this.#fleet = fleet;
		this.#random = random;
		this.#report = report;
	}

	get version(): number {
		return this.#version;
	}

	/** Names the next version of the weights. */
	nameVersion(): void {
		this.#version++;
		this.#fleet.store.put(`${VERSION_PREFIX}${MODEL}`, namedVersion(this.#version));
	}

	/** Injects faults until the signal aborts, then waits until the last one is over. */
	async run(signal: AbortSignal): Promise<void> {
		const running: Array<Promise<void>> = [];
		while (!signal.aborted) {
			await delay(PAUSE_MS * (0.3 + this.#random.next()));
			const [name, fault] = this.#draw();
			this.#report(name);
			running.push(fault());
		}

		await Promise.all(running);
	}

	#draw(): readonly [string, () => Promise<void>] {
		const {entries, agents, upstreams, store, origin} = this.#fleet;
		const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(this.#random.next() * items.length)];
		const milliseconds = this.#random.next() * LONGEST_MS;
		const node = pick([...entries, ...agents]);
		const upstream = pick(upstreams);
		const storeFault = pick<StoreFault>(['down', 'silent', 'lost']);
		const draws: ReadonlyArray<readonly [string, () => Promise<void>]> = [
			[`kill ${node.name}`, async () => {
				node.kill();
			}],
			[`freeze ${node.name} for ${Math.round(milliseconds)} ms`, async () => node.freeze(milliseconds)],
			['stop an entry', async () => this.#fleet.stopEntry(pick(entries))],
			[`reload ${node.name}`, async () => {
				node.reload();
			}],
			[`store ${storeFault} for ${Math.round(milliseconds)} ms`, async () => {
				store.fault = storeFault;
				await delay(milliseconds);
				store.fault = 'none';
			}],
			['store forgets its history', async () => {
				store.forgetHistory();
			}],
			['watches go silent', async () => {
				store.areWatchesSilent = true;
				await delay(milliseconds);
				store.areWatchesSilent = false;
			}],
			['connections to an upstream are reset', async () => {
				this.#fleet.notePathFault(0);
				upstream.relay.cut();
			}],
			['connections to an upstream go silent', async () => {
				this.#fleet.notePathFault(milliseconds);
				upstream.relay.silence();
				await delay(milliseconds);
				upstream.relay.cutSilent();
			}],
			['an upstream fails and breaks answers', async () => {
				this.#fleet.notePathFault(milliseconds);
				upstream.requests.failingShare = 0.3;
				upstream.requests.breakingShare = 0.3;
				await delay(milliseconds);
				upstream.requests.failingShare = 0;
				upstream.requests.breakingShare = 0;
			}],
			['an engine restarts empty', async () => {
				this.#fleet.notePathFault(0);
				upstream.relay.cut();
				upstream.empty();
			}],
			['a version is named', async () => {
				this.nameVersion();
			}],
			['the configuration is written again', async () => {
				this.#configuration++;
				store.put(CONFIGURATION_KEY, this.#fleet.configuration(this.#configuration));
			}],
			['the origin spoils pieces', async () => {
				origin.spoilt = 3;
			}],
			['the origin goes away', async () => {
				origin.isDown = true;
				await delay(milliseconds);
				origin.isDown = false;
			}],
		];
		return pick(draws);
	}
}
