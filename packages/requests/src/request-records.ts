/** What an agent remembers about requests, so that it can settle them. */
import {MAX_KEPT_ANSWER_BYTES, MAX_RECORDS} from './constants.js';
import {parseRequestId} from './request-ids.js';
import type {DeathReport, KeptAnswer, SettleAnswer} from './types.js';

/**
State of one request at this agent.

- `receiving`: its body has not arrived in full; nothing has been run.
- `running`: it was handed to the upstream.
- `completed`: the upstream answered in full.
- `failed`: the upstream may have run it but did not answer in full.
- `not-run`: it was not run and never will be.
*/
export type RecordState = 'receiving' | 'running' | 'completed' | 'failed' | 'not-run';

export class RequestRecord {
	readonly id: string;
	readonly repeatable: boolean;
	state: RecordState = 'receiving';
	headSent = false;
	bytesSent = 0;
	answer: KeptAnswer | undefined;

	/** Death of the upstream that ended the request. */
	death: DeathReport | undefined;
	#finishResolvers: Array<() => void> = [];

	constructor({id, repeatable}: {readonly id: string; readonly repeatable: boolean}) {
		this.id = id;
		this.repeatable = repeatable;
	}

	get isFinished(): boolean {
		return this.state !== 'receiving' && this.state !== 'running';
	}

	/** Sets the final state and wakes those who wait for it. */
	finish(state: 'completed' | 'failed' | 'not-run'): void {
		this.state = state;
		const resolvers = this.#finishResolvers;
		this.#finishResolvers = [];
		for (const resolve of resolvers) {
			resolve();
		}
	}

	/** Resolves when the request is finished. */
	async waitUntilFinished(): Promise<void> {
		if (!this.isFinished) {
			await new Promise<void>(resolve => {
				this.#finishResolvers.push(resolve);
			});
		}
	}

	toSettleAnswer(): SettleAnswer {
		const state = this.state === 'failed' ? 'unknown' : this.state;
		return {
			state: state === 'receiving' ? 'not-run' : state, headSent: this.headSent, bytesSent: this.bytesSent, kept: this.answer !== undefined, death: this.death,
		};
	}
}

/** Records in order of arrival. The oldest are dropped beyond a limit, and all ids up to a dropped one count as unknown. */
export class RequestRecords {
	readonly #records = new Map<string, RequestRecord>();
	readonly #recordsWithAnswer: RequestRecord[] = [];
	readonly #lastEvictedPositions = new Map<string, number>();
	readonly #maxRecords: number;
	readonly #maxAnswerBytes: number;
	#answerBytes = 0;

	constructor({maxRecords = MAX_RECORDS, maxAnswerBytes = MAX_KEPT_ANSWER_BYTES}: {readonly maxRecords?: number; readonly maxAnswerBytes?: number} = {}) {
		this.#maxRecords = maxRecords;
		this.#maxAnswerBytes = maxAnswerBytes;
	}

	get(id: string): RequestRecord | undefined {
		return this.#records.get(id);
	}

	/** Whether records of requests as old as this one have been dropped, so that its absence proves nothing. */
	isEvicted(id: string): boolean {
		const parsed = parseRequestId(id);
		return parsed === undefined || parsed.position <= (this.#lastEvictedPositions.get(parsed.source) ?? 0);
	}

	/** Starts a record. */
	begin(id: string, repeatable: boolean): RequestRecord {
		const record = new RequestRecord({id, repeatable});
		this.#records.set(id, record);
		if (this.#records.size > this.#maxRecords) {
			this.#evictOldestFinished();
		}

		return record;
	}

	/** Records that a request will never be run, unless it may have been. @returns what is known about the request. */
	settle(id: string): SettleAnswer {
		const known = this.#records.get(id);
		if (known) {
			if (known.state === 'receiving') {
				known.finish('not-run');
			}

			return known.toSettleAnswer();
		}

		if (this.isEvicted(id)) {
			return {
				state: 'unknown', headSent: false, bytesSent: 0, kept: false,
			};
		}

		const record = this.begin(id, false);
		record.finish('not-run');
		return record.toSettleAnswer();
	}

	/** Keeps a finished answer; the oldest answers are dropped beyond the limit. */
	keepAnswer(record: RequestRecord, answer: KeptAnswer): void {
		record.answer = answer;
		this.#recordsWithAnswer.push(record);
		this.#answerBytes += answer.body.length;
		while (this.#answerBytes > this.#maxAnswerBytes && this.#recordsWithAnswer.length > 1) {
			const oldest = this.#recordsWithAnswer.shift()!;
			this.#answerBytes -= oldest.answer?.body.length ?? 0;
			oldest.answer = undefined;
		}
	}

	#evictOldestFinished(): void {
		for (const [id, record] of this.#records) {
			if (!record.isFinished) {
				continue;
			}

			this.#records.delete(id);
			const parsed = parseRequestId(id);
			if (parsed) {
				this.#lastEvictedPositions.set(parsed.source, Math.max(parsed.position, this.#lastEvictedPositions.get(parsed.source) ?? 0));
			}

			return;
		}
	}
}
