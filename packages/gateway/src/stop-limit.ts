/** Time by which a stopping entry must have given its last answers, and the requests that it can answer until then. */
import type {Clock} from '@yuccawood/common';
import {
	AnswerTimes, isAnswerable, isRetryable, longestAnswerMs,
} from '@yuccawood/dispatch';
import type {AcceptedRequest} from './accepted-request.js';

/** What the time that an answer takes depends on. */
type AdmittedRequest = Pick<AcceptedRequest, 'route' | 'table' | 'service' | 'promptTokens' | 'answerTokens' | 'bodyReadAt' | 'lastDeadlineAt'>;

export type StopLimitOptions = {readonly clock: Pick<Clock, 'monotonic'>};

/** Monotonic times in milliseconds. */
export type StopTimes = {
	/** Earliest time at which the stop may have begun. */
	readonly startedAt: number;

	/** When the last answers must have ended. */
	readonly answerBy: number;
};

export class StopLimit {
	readonly #clock: Pick<Clock, 'monotonic'>;
	readonly #answerTimes = new AnswerTimes();
	#stop: StopTimes | undefined;

	constructor({clock}: StopLimitOptions) {
		this.#clock = clock;
	}

	/** Undefined before a stop. */
	get times(): StopTimes | undefined {
		return this.#stop;
	}

	set(stop: StopTimes): void {
		this.#stop = stop;
	}

	/** Records how long a request took that an upstream ran. */
	recordAnswer({route, arrivedAt}: Pick<AcceptedRequest, 'route' | 'arrivedAt'>): void {
		const now = this.#clock.monotonic();
		this.#answerTimes.record(route.name, now - arrivedAt, now);
	}

	/** Records that a part of an answer is passed on before the answer is complete, so that no failure can replace it. */
	recordPartialAnswer({route}: Pick<AcceptedRequest, 'route'>): void {
		this.#answerTimes.recordPartial(route.name, this.#clock.monotonic());
	}

	/** Whether a request that is sent to an upstream now can be answered before this entry ends. */
	canAnswer({route, table, service, promptTokens, answerTokens, bodyReadAt, lastDeadlineAt}: AdmittedRequest): boolean {
		if (this.#stop === undefined) {
			return true;
		}

		const now = this.#clock.monotonic();
		const engine = table.configuration.services.find(({name}) => name === service)?.engine;
		return isAnswerable({
			now,
			answerBy: this.#stop.answerBy,
			lastDeadlineAt,
			isRepeatable: isRetryable(route),
			isStream: route.kind === 'stream',
			sentAfterMs: bodyReadAt - this.#stop.startedAt,
			observed: this.#answerTimes.of(route.name, now),
			boundMs: engine && answerTokens !== undefined ? longestAnswerMs(engine, {promptTokens, answerTokens}) : undefined,
		});
	}
}
