/** How the answers of each route went lately. Performs no I/O; callers pass in the time. */
import {ANSWER_TIMES_PERIOD_MS} from './constants.js';

export type ObservedAnswers = {
	readonly count: number;
	readonly longestMs: number;

	/** Whether a part of an answer was passed on before the answer was complete. */
	readonly hasPartial: boolean;
};

const NONE: ObservedAnswers = {count: 0, longestMs: 0, hasPartial: false};

const combine = (one: ObservedAnswers, other: ObservedAnswers): ObservedAnswers => ({
	count: one.count + other.count, longestMs: Math.max(one.longestMs, other.longestMs), hasPartial: one.hasPartial || other.hasPartial,
});

export class AnswerTimes {
	/** Answers of the present period and of the one before it, by route. */
	#present = new Map<string, ObservedAnswers>();
	#previous = new Map<string, ObservedAnswers>();
	#presentSince = 0;

	/** @param now monotonic time in milliseconds */
	record(route: string, tookMs: number, now: number): void {
		this.#add(route, {...NONE, count: 1, longestMs: tookMs}, now);
	}

	/** Records that a part of an answer is passed on before the answer is complete. @param now monotonic time in milliseconds */
	recordPartial(route: string, now: number): void {
		this.#add(route, {...NONE, hasPartial: true}, now);
	}

	of(route: string, now: number): ObservedAnswers {
		this.#advance(now);
		return combine(this.#present.get(route) ?? NONE, this.#previous.get(route) ?? NONE);
	}

	#add(route: string, answers: ObservedAnswers, now: number): void {
		this.#advance(now);
		this.#present.set(route, combine(this.#present.get(route) ?? NONE, answers));
	}

	#advance(now: number): void {
		const elapsed = now - this.#presentSince;
		if (elapsed < ANSWER_TIMES_PERIOD_MS) {
			return;
		}

		this.#previous = elapsed < ANSWER_TIMES_PERIOD_MS * 2 ? this.#present : new Map<string, ObservedAnswers>();
		this.#present = new Map();
		this.#presentSince = now;
	}
}
