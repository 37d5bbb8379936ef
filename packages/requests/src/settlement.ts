/** Queries agents about the state of requests. Each query uses a new connection, because a kept one may be open but carry no data. */
import {RpcError, type PeerClient} from '@yuccawood/common';
import {ANSWER_WAIT_MS, QUERY_TIMEOUT_MS} from './constants.js';
import type {AnswerReply, KeptAnswer, SettleReply} from './types.js';

/** A request and the agent that it was sent to. */
export type Assignment = {
	readonly requestId: string;
	readonly address: string;
	readonly incarnation: number;
};

/** The reply of the agent, or why there is none: `gone` when its address cannot be reached, `silent` when the query failed otherwise or timed out. */
export type SettleResult = SettleReply | {readonly state: 'gone' | 'silent'};

/** State of a request, with its answer if it was completed and the answer is kept. */
type FetchResult = {readonly state: SettleResult['state']; readonly answer?: KeptAnswer};

/** Client of the methods `requests.settle` and `requests.answer`, which agents serve. */
export class Settlement {
	readonly #client: PeerClient;

	constructor({client}: {readonly client: PeerClient}) {
		this.#client = client;
	}

	/** Queries the state of a request. After `not-run` the agent will never run it. */
	async query({address, requestId, incarnation}: Assignment): Promise<SettleResult> {
		return this.#call<SettleReply>(address, 'requests.settle', {requestId, incarnation}, QUERY_TIMEOUT_MS);
	}

	/** Waits for the answer of a running request until the time left is used up or two queries in a row get no reply. */
	async fetchAnswer({address, requestId, incarnation}: Assignment, timeLeftMs: () => number): Promise<FetchResult> {
		let unansweredQueries = 0;
		for (;;) {
			const waitMs = Math.max(0, Math.min(ANSWER_WAIT_MS, timeLeftMs()));
			const reply = await this.#call<AnswerReply>(address, 'requests.answer', {requestId, incarnation, waitMs}, waitMs + QUERY_TIMEOUT_MS);
			unansweredQueries = reply.state === 'silent' ? unansweredQueries + 1 : 0;
			const mustWait = reply.state === 'running' || (reply.state === 'silent' && unansweredQueries < 2);
			if (!mustWait || timeLeftMs() <= 0) {
				return reply;
			}
		}
	}

	/** Calls over a new connection (`fresh`), and turns failures into states. */
	async #call<Answer>(address: string, method: string, parameters: unknown, timeoutMs: number): Promise<Answer | {readonly state: 'gone' | 'silent'}> {
		try {
			return await this.#client.call<Answer>(address, method, parameters, {timeoutMs, useNewConnection: true});
		} catch (error) {
			if (error instanceof RpcError && error.kind === 'unreachable') {
				return {state: 'gone'};
			}

			return {state: 'silent'};
		}
	}
}
