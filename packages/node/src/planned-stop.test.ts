import {SILENT_LOG, SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import type {HandoverClaim} from './handover-claim.js';
import type {ObservedEntry} from './handover.js';
import {PlannedStop} from './planned-stop.js';

const GRACE_MS = 8000;

/** Time after SIGTERM from which at most one entry may count as ready: 4 s less two questions that each take 1.25 s, and 0.1 s for the test's own look. */
const LAST_READY_MS = 1600;

const clock = new SystemClock();

const gateway = {
	readDelayMs: 0,
	unusedMs: Number.POSITIVE_INFINITY,
	beginDraining: () => undefined,
	stopListening: async () => undefined,
	closeIdleConnections: async () => 0,
	exchanges: {limitAnswers: () => undefined, refuseLate: () => undefined, endAll: () => undefined},
};

/** Claim of the store, which the first one gets that asks. */
class OneClaim implements HandoverClaim {
	isTaken = false;

	readonly take = async (): Promise<boolean> => {
		const isGranted = !this.isTaken;
		this.isTaken = true;
		return isGranted;
	};

	readonly giveBack = async (): Promise<void> => {
		this.isTaken = false;
	};
}

/** Call that gets no answer. */
const unanswered = async <Answer>(): Promise<Answer> => new Promise<Answer>(() => {
	// Never resolves.
});

const NEVER: HandoverClaim = {take: unanswered, giveBack: unanswered};

describe('PlannedStop', () => {
	const stopOf = ({claim, ask, readDelayMs = 0}: {
		readonly claim: HandoverClaim;
		readonly ask: () => Promise<readonly ObservedEntry[]>;
		readonly readDelayMs?: number;
	}): PlannedStop => new PlannedStop({
		gateway: {...gateway, readDelayMs}, claim, clock, log: SILENT_LOG, others: {isSelfListed: () => true, ask},
	});

	/** Milliseconds from the stop to the last moment at which it counts as ready. */
	const lastReadyTime = async (stop: PlannedStop): Promise<number> => {
		const startedAt = clock.monotonic();
		const running = stop.run(GRACE_MS);
		let lastReadyMs = 0;
		while (clock.monotonic() - startedAt < 4000) {
			if (stop.isReady) {
				lastReadyMs = clock.monotonic() - startedAt;
			}

			await clock.sleep(5);
		}

		await running;
		return lastReadyMs;
	};

	describe('of entries whose lists lack each other', () => {
		it('lets only one of them stay ready for longer than all may', async () => {
			const claim = new OneClaim();
			const times = await Promise.all(Array.from({length: 3}, async () => lastReadyTime(stopOf({claim, ask: async () => []}))));
			expect(times.filter(time => time >= LAST_READY_MS).length).to.equal(1);
		}).timeout(15_000);
	});

	describe('while another entry becomes ready', () => {
		const stopWith = async (claim: HandoverClaim, readyAfterMs: number): Promise<number> => {
			const readyAt = clock.monotonic() + readyAfterMs;
			return lastReadyTime(stopOf({claim, ask: async () => clock.monotonic() < readyAt ? [] : [{kind: 'ready'}]}));
		};

		it('gives the claim back if that was in time', async () => {
			const claim = new OneClaim();
			expect(await stopWith(claim, 500)).to.be.lessThan(LAST_READY_MS);
			expect(claim.isTaken).to.equal(false);
		}).timeout(15_000);

		it('keeps the claim that it has used', async () => {
			const claim = new OneClaim();
			expect(await stopWith(claim, 2500)).to.be.greaterThan(LAST_READY_MS);
			expect(claim.isTaken).to.equal(true);
		}).timeout(15_000);
	});

	describe('while the store does not answer', () => {
		it('does not stay ready for longer than all may', async () => {
			expect(await lastReadyTime(stopOf({claim: NEVER, ask: async () => []}))).to.be.lessThan(LAST_READY_MS);
		}).timeout(15_000);
	});

	describe('while another entry that stops takes connections, too', () => {
		/** Milliseconds from SIGTERM until the entry stops listening, although callers use it. @param forMs time since the other one was asked to stop */
		const listeningMs = async (forMs: (stoppingMs: number) => number): Promise<number> => {
			const startedAt = clock.monotonic();
			let untilMs = 0;
			const stop = new PlannedStop({
				gateway: {
					...gateway, unusedMs: 0, async stopListening() {
						untilMs = clock.monotonic() - startedAt;
					},
				}, claim: NEVER, clock, log: SILENT_LOG, others: {isSelfListed: () => true, ask: async () => [{kind: 'stopping', forMs: forMs(clock.monotonic() - startedAt)}]},
			});
			await stop.run(GRACE_MS);
			return untilMs;
		};

		// Guards against entries that wait for the end of their grace one after the other, so that none is back for seconds.
		it('leaves first if it was stopped first', async () => {
			expect(await listeningMs(stoppingMs => stoppingMs - 1000)).to.be.lessThan(GRACE_MS / 2);
		}).timeout(15_000);

		it('stays if it was stopped last, or at the same time', async () => {
			const times = await Promise.all([listeningMs(stoppingMs => stoppingMs + 1000), listeningMs(stoppingMs => stoppingMs)]);
			for (const ms of times) {
				expect(ms).to.be.greaterThan(GRACE_MS * 0.75);
			}
		}).timeout(15_000);
	});

	// Guards against connections that the kernel resets because the entry is behind with accepting them.
	describe('while more connections wait than it accepts', () => {
		it('goes on listening until shortly before its last answers', async () => {
			const startedAt = clock.monotonic();
			let listensUntilMs = 0;
			const stop = new PlannedStop({
				gateway: {
					...gateway, async stopListening({maxWaitMs = 0} = {}) {
						listensUntilMs = clock.monotonic() - startedAt + maxWaitMs;
					},
				}, claim: NEVER, clock, log: SILENT_LOG, others: {isSelfListed: () => true, ask: async () => []},
			});
			await stop.run(GRACE_MS);
			// Guards against a process that stands still before, and is left no time to accept what has come meanwhile.
			expect(listensUntilMs).to.be.within(GRACE_MS - 800, GRACE_MS - 600);
		}).timeout(15_000);
	});

	describe('while a question to the others gets no answer at all', () => {
		it('does not stay ready for longer than all may', async () => {
			expect(await lastReadyTime(stopOf({claim: new OneClaim(), ask: unanswered}))).to.be.lessThan(LAST_READY_MS);
		}).timeout(15_000);
	});

	describe('in a process whose timers are late', () => {
		it('does not count as ready beyond the limit, although nothing has decided so yet', async () => {
			const lateClock = {...clock, sleep: async (milliseconds: number) => clock.sleep(milliseconds + 1500)};
			const stop = new PlannedStop({
				gateway, claim: NEVER, clock: lateClock, log: SILENT_LOG, others: {isSelfListed: () => true, ask: async () => []},
			});
			expect(await lastReadyTime(stop)).to.be.lessThan(LAST_READY_MS);
		}).timeout(15_000);
	});

	describe('in a process that handles SIGTERM late', () => {
		it('counts the time from when it may have come', async () => {
			const readDelayMs = 400;
			const lastReadyMs = await lastReadyTime(stopOf({claim: NEVER, ask: async () => [], readDelayMs}));
			expect(lastReadyMs + readDelayMs).to.be.lessThan(LAST_READY_MS);
		}).timeout(15_000);
	});
});
