/** Single faults and changes of a soak run. Each resolves once it is over. */
import {delay, type Random} from '@yuccawood/common';
import {
	CONFIGURATION_KEY, VERSION_PREFIX, targetVersionItem, MODEL, type FleetBounds, type StoreFault,
} from '@yuccawood/platform/testing';
import type {NodeProcess} from './node-process.js';
import type {SoakFleet} from './soak-fleet.js';
import type {SoakUpstream} from './upstreams.js';

const LONGEST_MS = 1800;
const LONGEST_DELAY_MS = 300;
const FAULTY_SHARE = 0.3;

/** How the machines or processes that fall together come back. */
export type Loss = 'power' | 'processes';

export type Fault = {
	readonly name: string;

	/** Whether it impairs the store or a link, for which the bounds of changes allow. */
	readonly isCore: boolean;
	readonly run: () => Promise<void>;
};

export class Faults {
	readonly #fleet: SoakFleet;
	readonly #random: Random;
	readonly #bounds: FleetBounds;
	readonly #now: () => number;
	#version = 0;
	#configuration = 1;

	constructor({fleet, random, bounds, now}: {readonly fleet: SoakFleet; readonly random: Random; readonly bounds: FleetBounds; readonly now: () => number}) {
		this.#fleet = fleet;
		this.#random = random;
		this.#bounds = bounds;
		this.#now = now;
	}

	get version(): number {
		return this.#version;
	}

	/** Names the next version of the weights. */
	nameVersion(): void {
		const version = ++this.#version;
		this.#fleet.changes.push({
			promise: 'version', at: this.#now(), boundMs: this.#bounds.versionMs, subject: `version ${version} was named`,
			forbids: run => run.version !== undefined && run.version < version,
		});
		this.#fleet.store.put(`${VERSION_PREFIX}${MODEL}`, targetVersionItem(version));
	}

	writeConfiguration(): void {
		this.#configuration++;
		this.#fleet.store.put(CONFIGURATION_KEY, this.#fleet.configuration(this.#configuration));
	}

	/** All processes fall at once; with a loss of power the engines do too, and nothing stays staged. */
	async loseAll(loss: Loss, only?: 'agents'): Promise<void> {
		const {entries, agents, upstreams} = this.#fleet;
		const offMs = loss === 'power' ? this.#milliseconds() : 0;
		for (const node of only === 'agents' ? agents : [...entries, ...agents]) {
			node.kill(offMs);
		}

		if (loss === 'power') {
			this.#fleet.notePathFault(offMs);
			await this.#fleet.disruptions.during('upstream', async () => {
				await Promise.all(upstreams.filter(({engine}) => engine).map(async upstream => upstream.losePower(offMs)));
			});
		}
	}

	async takeAway(what: 'origin' | 'store', milliseconds: number): Promise<void> {
		const {origin, store, disruptions} = this.#fleet;
		await disruptions.during(what, async () => {
			origin.isDown ||= what === 'origin';
			store.fault = what === 'store' ? 'down' : store.fault;
			await delay(milliseconds);
			origin.isDown &&= what !== 'origin';
			store.fault = what === 'store' ? 'none' : store.fault;
		});
	}

	draw(): Fault {
		const all = [...this.#processFaults(), ...this.#upstreamFaults(), ...this.#changes(), ...this.#coreFaults()];
		return this.#pick(all);
	}

	/** A draw without impairments of the store and of links, so that the bounds of changes run out. */
	drawBesideCore(): Fault {
		return this.#pick([...this.#processFaults(), ...this.#upstreamFaults(), ...this.#changes()].filter(({isCore}) => !isCore));
	}

	#processFaults(): readonly Fault[] {
		const node = this.#pick(this.#fleet.processes);
		const entry = this.#pick(this.#fleet.entries);
		const milliseconds = this.#milliseconds();
		const fault = (name: string, run: () => Promise<void>): Fault => ({name, isCore: false, run});
		return [
			fault(`kill ${node.name}`, async () => {
				node.kill();
			}),
			fault(`freeze ${node.name} for ${milliseconds} ms`, async () => node.freeze(milliseconds)),
			fault(`stop ${entry.name}`, async () => entry.stop()),
			fault(`stop ${node.name}`, async () => node.stop()),
			fault(`reload ${node.name}`, async () => node.reload()),
			fault('agents and engines lose power', async () => this.loseAll('power', 'agents')),
		];
	}

	#changes(): readonly Fault[] {
		const naming: Fault = {
			name: 'a version is named', isCore: false, run: async () => {
				this.nameVersion();
			},
		};
		return [
			naming,
			naming,
			{
				name: 'the configuration is written again', isCore: false, run: async () => {
					this.writeConfiguration();
				},
			},
		];
	}

	#upstreamFaults(): readonly Fault[] {
		const {origin, upstreams, disruptions} = this.#fleet;
		const upstream = this.#pick(this.#fleet.upstreams);
		const milliseconds = this.#milliseconds();
		const awayMs = Math.round(this.#random.next() * this.#bounds.versionMs * 2);
		const fault = (name: string, run: () => Promise<void>): Fault => ({name, isCore: false, run});
		return [
			fault(`${upstream.id} fails and breaks answers`, async () => this.#impair(upstream, milliseconds, ['failingShare', 'breakingShare'])),
			fault(`${upstream.id} sends answers without an end`, async () => this.#impair(upstream, milliseconds, ['endlessShare'])),
			fault('all upstreams send answers without an end', async () => {
				await Promise.all(upstreams.map(async each => this.#impair(each, milliseconds, ['endlessShare'])));
			}),
			fault(`${upstream.id} starts again`, async () => {
				this.#fleet.notePathFault(0);
				disruptions.note('upstream');
				upstream.restart({losesStage: false});
			}),
			fault(`${upstream.id} drains`, async () => this.#drain(upstream)),
			fault('the origin spoils pieces', async () => {
				disruptions.note('origin');
				origin.corruptPieces = 3;
			}),
			fault(`the origin goes away for ${awayMs} ms`, async () => this.takeAway('origin', awayMs)),
		];
	}

	#coreFaults(): readonly Fault[] {
		const {store, disruptions} = this.#fleet;
		const milliseconds = this.#milliseconds();
		const delayMs = Math.round(this.#random.next() * LONGEST_DELAY_MS);
		const storeFault = this.#pick<StoreFault>(['down', 'silent', 'lost']);
		const node = this.#pick(this.#fleet.processes);
		const upstream = this.#pick(this.#fleet.upstreams);
		const fault = (name: string, run: () => Promise<void>): Fault => ({name, isCore: true, run});
		return [
			fault(`store ${storeFault} for ${milliseconds} ms`, async () => disruptions.during('store', async () => {
				store.fault = storeFault;
				await delay(milliseconds);
				store.fault = 'none';
			})),
			fault('store forgets its history', async () => {
				disruptions.note('store');
				store.forgetHistory();
			}),
			fault(`watches go silent for ${milliseconds} ms`, async () => disruptions.during('store', async () => {
				store.areWatchesSilent = true;
				await delay(milliseconds);
				store.areWatchesSilent = false;
			})),
			...this.#pathFaults({
				subject: `${node.name} to the store`, relay: this.#fleet.storePaths.get(node)!, milliseconds, delayMs,
			}),
			...this.#pathFaults({
				subject: upstream.id, relay: upstream.relay, milliseconds, delayMs, isUpstream: true,
			}),
		];
	}

	#pathFaults({subject, relay, milliseconds, delayMs, isUpstream = false}: {
		readonly subject: string;
		readonly relay: SoakUpstream['relay'];
		readonly milliseconds: number;
		readonly delayMs: number;
		readonly isUpstream?: boolean;
	}): readonly Fault[] {
		const {disruptions} = this.#fleet;
		const direction = this.#pick(['toTarget', 'toCaller'] as const);
		const lasting = (name: string, begin: () => void, end: () => void): Fault => ({
			name: `${subject}: ${name} for ${milliseconds} ms`,
			isCore: true,
			run: async () => disruptions.during('link', async () => {
				if (isUpstream) {
					this.#fleet.notePathFault(milliseconds);
				}

				begin();
				await delay(milliseconds);
				end();
			}),
		});
		return [
			{
				name: `${subject}: connections are reset`, isCore: true, run: async () => {
					disruptions.note('reset');
					if (isUpstream) {
						this.#fleet.notePathFault(0);
					}

					relay.cut();
				},
			},
			lasting('connections go silent', () => {
				relay.silence();
			}, () => {
				relay.cutSilent();
			}),
			lasting(`cut ${direction}`, () => {
				relay.hold(direction);
			}, () => {
				relay.release();
			}),
			lasting(`data comes ${delayMs} ms late`, () => {
				relay.delayMs = delayMs;
			}, () => {
				relay.delayMs = 0;
			}),
		];
	}

	async #impair(upstream: SoakUpstream, milliseconds: number, shares: ReadonlyArray<'failingShare' | 'breakingShare' | 'endlessShare'>): Promise<void> {
		this.#fleet.notePathFault(milliseconds);
		await this.#fleet.disruptions.during('upstream', async () => {
			for (const share of shares) {
				upstream.requests[share] = FAULTY_SHARE;
			}

			await delay(milliseconds);
			for (const share of shares) {
				upstream.requests[share] = 0;
			}
		});
	}

	/** The upstream announces its leaving, serves on for a while, and starts again. */
	async #drain(upstream: SoakUpstream): Promise<void> {
		const at = this.#now();
		this.#fleet.changes.push({
			promise: 'drain', at, boundMs: this.#bounds.drainMs, subject: `${upstream.id} began to drain`,
			forbids: run => run.upstream === upstream.id && !upstream.restarts.some(time => time >= at && time <= run.at),
		});
		await this.#fleet.disruptions.during('upstream', async () => {
			upstream.drain();
			await delay(this.#bounds.drainMs + this.#milliseconds());
			this.#fleet.notePathFault(0);
			upstream.restart({losesStage: true});
		});
	}

	#milliseconds(): number {
		return Math.round(this.#random.next() * LONGEST_MS);
	}

	#pick<Item>(items: readonly Item[]): Item {
		return items[Math.floor(this.#random.next() * items.length)];
	}
}
