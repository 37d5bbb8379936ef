/** Records that an agent keeps of its requests, from which it answers queries about their outcome. */
import {MAX_KEPT_ANSWER_BYTES, MAX_RECORDS} from './constants.js';
import {parseRequestId} from './request-ids.js';
import type {DeathReport, KeptAnswer, SettleReply} from './types.js';

/**
State of one request at this agent.

- `receiving`: its body has not arrived in full, and it has not been run.
- `running`: it was sent to the upstream.
- `completed`: the upstream answered in full.
- `failed`: the upstream may have run it but did not answer in full.
- `not-run`: it was not run and never will be.
*/
export type RecordState = 'receiving' | 'running' | 'completed' | 'failed' | 'not-run';

export class RequestRecord {
	readonly id: string;
	readonly repeatable: boolean;
	state: RecordState = 'receiving';

	/** Whether the response headers were sent to the entry. */
	headSent = false;

	/** Bytes of the response body that were sent to the entry. */
	bytesSent = 0;

	/** The finished answer to a non-repeatable request, while it is kept. */
	answer: KeptAnswer | undefined;

	/** The death of the upstream that ended the request. */
	death: DeathReport | undefined;
	#finishResolvers: Array<() => void> = [];

	constructor({id, repeatable}: {readonly id: string; readonly repeatable: boolean}) {
		this.id = id;
		this.repeatable = repeatable;
	}

	get isFinished(): boolean {
		return this.state !== 'receiving' && this.state !== 'running';
	}

	/** Sets the final state and resolves `waitUntilFinished`. */
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

	/** The state as reported to entries: `failed` becomes `unknown`, and `receiving` becomes `not-run`. */
	toSettleReply(): SettleReply {
		const state = this.state === 'failed' ? 'unknown' : this.state;
		return {
			state: state === 'receiving' ? 'not-run' : state, headSent: this.headSent, bytesSent: this.bytesSent, kept: this.answer !== undefined, death: this.death,
		};
	}
}

/** Records in order of arrival. Beyond a limit the oldest finished ones are evicted, and all ids of the same source up to an evicted one count as unknown. */
export class RequestRecords {
	readonly #records = new Map<string, RequestRecord>();

	/** Records whose answer is kept, oldest first. */
	readonly #recordsWithAnswer: RequestRecord[] = [];

	/** Highest counter of the evicted ids, by source. */
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

	/** Whether a record of this request may have been evicted, so that a missing record does not prove that it was not run. */
	mayBeEvicted(id: string): boolean {
		const parsed = parseRequestId(id);
		return parsed === undefined || parsed.position <= (this.#lastEvictedPositions.get(parsed.source) ?? 0);
	}

	/** Adds a record in state `receiving`. */
	begin(id: string, repeatable: boolean): RequestRecord {
		const record = new RequestRecord({id, repeatable});
		this.#records.set(id, record);
		if (this.#records.size > this.#maxRecords) {
			this.#evictOldestFinished();
		}

		return record;
	}

	/** Marks a request as never to be run, unless it may have been run already. @returns its state. */
	settle(id: string): SettleReply {
		const known = this.#records.get(id);
		if (known) {
			if (known.state === 'receiving') {
				known.finish('not-run');
			}

			return known.toSettleReply();
		}

		if (this.mayBeEvicted(id)) {
			return {
				state: 'unknown', headSent: false, bytesSent: 0, kept: false,
			};
		}

		const record = this.begin(id, false);
		record.finish('not-run');
		return record.toSettleReply();
	}

	/** Keeps a finished answer, and drops the oldest answers beyond the limit in bytes. */
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
