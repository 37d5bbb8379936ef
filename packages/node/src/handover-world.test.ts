/** Entries that are stopped and started again behind a load balancer, on a virtual clock, with messages that come late or not at all. */
import FakeTimers from '@sinonjs/fake-timers';
import {
	Err, Ok, SILENT_LOG, type Clock, type Random,
} from '@yuccawood/common';
import {PlatformError} from '@yuccawood/interfaces';
import {StoreClaim} from './handover-claim.js';
import type {EntryState, ObservedEntry} from './handover.js';
import {PlannedStop} from './planned-stop.js';
import type {OtherEntries} from './readiness-exchange.js';

const GRACE_MS = 8000;

/** Interval of the load balancer's questions, and the answers other than 200 in a row after which it sends nothing more to an entry. */
const QUESTION_INTERVAL_MS = 1000;
const MISSES = 2;

/** Time after SIGTERM at which the platform counts the entries that still run and count as ready. */
const COUNTED_AFTER_MS = 4000;
const CALL_TIMEOUT_MS = 300;
const STORE_TIMEOUT_MS = 1000;

export type HandoverWorldOptions = {
	readonly random: Random;
	readonly entryCount: number;

	/** Share of the questions between entries that get no answer. */
	readonly lossShare: number;

	/** Longest time that a message takes, in milliseconds. */
	readonly maxDelayMs: number;

	/** Longest time by which the load balancer's next question is late, in milliseconds. */
	readonly maxQuestionDelayMs: number;

	/** Share of the entries' lists that lack the entry itself. */
	readonly unlistedShare: number;

	/** Share of the calls to the store that are not answered. Half of these are executed. */
	readonly storeLossShare: number;
};

type Entry = {
	/** Undefined while the process is away. */
	life: {readonly stop: PlannedStop; canServe: boolean; stoppedAt?: number} | undefined;
	misses: number;
};

/** What the platform counted. */
export type HandoverCount = {
	/** Stops after which the entry still ran and counted as ready. */
	readonly stillReady: number;

	/** Smallest number of entries that counted as ready when one of them was stopped. */
	readonly readyAtStop: number;
	readonly stops: number;
};

export class HandoverWorld {
	readonly #timers = FakeTimers.createClock(0);
	readonly #options: HandoverWorldOptions;
	readonly #entries: readonly Entry[];
	readonly #clock: Clock = {
		now: () => this.#timers.now,
		monotonic: () => this.#timers.now,
		sleep: async (milliseconds, signal) => new Promise(resolve => {
			const finish = (): void => {
				this.#timers.clearTimeout(timer);
				signal?.removeEventListener('abort', finish);
				resolve();
			};

			const timer = this.#timers.setTimeout(finish, milliseconds);
			signal?.addEventListener('abort', finish);
		}),
	};

	/** A store with one key. */
	readonly #store = {
		grantLease: async (ttlMs: number) => this.#callStore(() => {
			const id = this.#leaseEnds.push(this.#timers.now + ttlMs) - 1;
			return Ok({id, ttlMs});
		}),
		endLease: async (id: number) => this.#callStore(() => {
			this.#leaseEnds[id] = this.#timers.now;
			return Ok(undefined);
		}),
		replace: async ({lease}: {readonly lease: number}) => this.#callStore(() => {
			if (this.#keyLease !== undefined && this.#leaseEnds[this.#keyLease] > this.#timers.now) {
				return Err(new PlatformError({kind: 'conflict', detail: 'The key exists.', remedy: 'None.'}));
			}

			this.#keyLease = lease;
			return Ok(undefined);
		}),
	};

	/** Ends of the leases by id, and the lease of the one key. */
	readonly #leaseEnds: number[] = [];
	#keyLease: number | undefined;
	#count: HandoverCount = {stillReady: 0, readyAtStop: Number.POSITIVE_INFINITY, stops: 0};

	constructor(options: HandoverWorldOptions) {
		this.#options = options;
		this.#entries = Array.from({length: options.entryCount}, () => ({life: undefined, misses: 0}));
		for (const [index, entry] of this.#entries.entries()) {
			entry.life = {stop: this.#createStop(index), canServe: true};
			this.#timers.setTimeout(() => {
				this.#question(entry);
			}, options.random.next() * QUESTION_INTERVAL_MS);
		}
	}

	/** Sends SIGTERM to an entry at a time. One that stops or is away already is left out. */
	stopAt(index: number, atMs: number): void {
		this.#timers.setTimeout(() => {
			const entry = this.#entries[index];
			if (entry.life && entry.life.stoppedAt === undefined) {
				void this.#stop(index, entry);
			}
		}, atMs);
	}

	async runUntil(atMs: number): Promise<HandoverCount> {
		await this.#timers.tickAsync(atMs);
		return this.#count;
	}

	async #stop(index: number, entry: Entry): Promise<void> {
		const life = entry.life!;
		life.stoppedAt = this.#timers.now;
		const readyAtStop = this.#entries.filter(other => other.misses < MISSES).length;
		this.#count = {...this.#count, readyAtStop: Math.min(this.#count.readyAtStop, readyAtStop), stops: this.#count.stops + 1};
		this.#timers.setTimeout(() => {
			const stillReady = entry.life === life && entry.misses < MISSES ? 1 : 0;
			this.#count = {...this.#count, stillReady: this.#count.stillReady + stillReady};
		}, COUNTED_AFTER_MS);
		await life.stop.run(GRACE_MS);
		entry.life = undefined;
		const {random} = this.#options;
		await this.#clock.sleep(random.next() * 1000);
		const restarted = {stop: this.#createStop(index), canServe: false};
		entry.life = restarted;
		await this.#clock.sleep(500 + (random.next() * 4000));
		restarted.canServe = true;
	}

	/** The load balancer's question whether the entry is ready. */
	#question(entry: Entry): void {
		const isReady = entry.life !== undefined && entry.life.canServe && entry.life.stop.isReady;
		entry.misses = isReady ? 0 : entry.misses + 1;
		this.#timers.setTimeout(() => {
			this.#question(entry);
		}, QUESTION_INTERVAL_MS + (this.#options.random.next() * this.#options.maxQuestionDelayMs));
	}

	#createStop(index: number): PlannedStop {
		const {random} = this.#options;
		const idleAfterMs = random.next() * GRACE_MS;
		let idleAt: number | undefined;
		return new PlannedStop({
			gateway: {
				readDelayMs: 0,
				unusedMs: random.next() < 0.5 ? 0 : Number.POSITIVE_INFINITY,
				beginDraining: () => undefined,
				stopListening: async () => undefined,
				closeIdleConnections: async () => {
					idleAt ??= this.#timers.now + idleAfterMs;
					return this.#timers.now < idleAt ? 1 : 0;
				},
				exchanges: {limitAnswers: () => undefined, refuseLate: () => undefined, endAll: () => undefined},
			},
			others: this.#othersOf(index),
			claim: new StoreClaim({store: this.#store, vm: String(index), log: SILENT_LOG}),
			clock: this.#clock,
			log: SILENT_LOG,
		});
	}

	#othersOf(index: number): OtherEntries {
		const {random, unlistedShare} = this.#options;
		const isListed = random.next() >= unlistedShare;
		return {
			isSelfListed: () => isListed,
			ask: async isEnough => new Promise(resolve => {
				const states: ObservedEntry[] = [];
				const others = this.#entries.filter((_, other) => other !== index);
				for (const other of others) {
					void (async () => {
						const state = await this.#ask(other);
						states.push(state);
						if (isEnough(state)) {
							resolve([state]);
						} else if (states.length === others.length) {
							resolve(states);
						}
					})();
				}
			}),
		};
	}

	async #ask({life}: Entry): Promise<ObservedEntry> {
		const {random, lossShare, maxDelayMs} = this.#options;
		if (random.next() < lossShare) {
			await this.#clock.sleep(CALL_TIMEOUT_MS);
			return {kind: 'silent'};
		}

		await this.#clock.sleep(random.next() * maxDelayMs);
		const state: ObservedEntry = life === undefined ? {kind: 'silent'} : this.#stateOf(life);
		await this.#clock.sleep(random.next() * maxDelayMs);
		return state;
	}

	#stateOf({stop, canServe}: NonNullable<Entry['life']>): EntryState {
		return stop.state(canServe);
	}

	async #callStore<Answer>(execute: () => Answer): Promise<Answer> {
		const {random, storeLossShare, maxDelayMs} = this.#options;
		if (random.next() < storeLossShare) {
			await this.#clock.sleep(STORE_TIMEOUT_MS);
			if (random.next() < 0.5) {
				execute();
			}

			return Err(new PlatformError({kind: 'unavailable', detail: 'No answer.', remedy: 'None.'})) as Answer;
		}

		await this.#clock.sleep(random.next() * maxDelayMs);
		const answer = execute();
		await this.#clock.sleep(random.next() * maxDelayMs);
		return answer;
	}
}
