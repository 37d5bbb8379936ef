/** Runs the requests that entries forward at the upstream of this VM, and settles them. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	SystemClock, type Clock, type Log, type Metrics, type PeerServer,
} from '@yuccawood/common';
import type {ServedVersion} from '@yuccawood/membership';
import {readLimitedBody} from './call.js';
import {ConnectionPools} from './connection-pools.js';
import {MAX_FORWARDED_BODY_BYTES, RETRY_AFTER_SECONDS} from './constants.js';
import {RequestError, type RequestErrorKind} from './errors.js';
import type {ExchangeRequest} from './exchange.js';
import {parseForwardedHead, type ForwardedHead} from './forwarded-head.js';
import {
	INCARNATION, LOAD, REQUEST_ID, VM, appendRequestHeaders,
} from './headers.js';
import {sendProblem, toRequestError} from './problem.js';
import {RequestRecords, type RequestRecord} from './request-records.js';
import {Supervisor} from './supervisor.js';
import type {
	AnswerQuestion, AnswerReply, SettleAnswer, SettleQuestion,
} from './types.js';
import {UpstreamRun, type RunEnd} from './upstream-run.js';

const PREFIX = '/requests';

const UNKNOWN: SettleAnswer = {
	state: 'unknown', headSent: false, bytesSent: 0, kept: false,
};

export type AgentRequestsOptions = {
	readonly selfId: string;
	readonly incarnation: number;

	/** `IP:port` of the upstream on this VM. */
	readonly upstreamAddress: string;
	readonly kind: 'engine' | 'service';
	readonly service: string;

	/** Requests that the upstream runs at the same time. */
	readonly capacity: number;

	/** Requests accepted beyond the capacity, which wait in the upstream. */
	readonly queueLimit?: number;

	/** Versions whose weights were verified and that the upstream answers with. */
	readonly serving: () => readonly ServedVersion[];
	readonly peerServer: PeerServer;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly clock?: Clock;

	/** Time from forwarding a request to the first byte of its answer, in milliseconds. */
	readonly onLiveLatency?: (milliseconds: number) => void;

	/** Bytes of live requests on this VM's link. */
	readonly onLiveBytes?: (bytes: number) => void;
};

const refusal = (kind: RequestErrorKind, detail: string): RequestError => new RequestError({
	kind, detail, remedy: 'Send the request to another VM.', retryAfterSeconds: RETRY_AFTER_SECONDS,
});

export class AgentRequests {
	readonly #options: AgentRequestsOptions;
	readonly #clock: Clock;
	readonly #records = new RequestRecords();
	readonly #pools = new ConnectionPools();
	readonly #supervisor: Supervisor;
	readonly #limit: number;
	#inProgress = 0;
	#isRefusing = false;
	#onIdle: Array<() => void> = [];

	constructor(options: AgentRequestsOptions) {
		const {clock = new SystemClock(), capacity, queueLimit = Math.ceil(capacity / 4), peerServer, log} = options;
		this.#options = options;
		this.#clock = clock;
		this.#limit = capacity + queueLimit;
		this.#supervisor = new Supervisor({clock, log});
		this.#supervisor.start();
		peerServer.handle(`${PREFIX}/`, async (request, response) => this.#handle(request, response));
		peerServer.method('requests.settle', (question: SettleQuestion) => this.#settle(question));
		peerServer.method('requests.answer', async (question: AnswerQuestion) => this.#answer(question));
	}

	/** Requests accepted and not finished, those whose entry is gone included. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Rejects newly forwarded requests as `not-run` from now on. */
	refuseNewWork(): void {
		this.#isRefusing = true;
	}

	acceptNewWork(): void {
		this.#isRefusing = false;
	}

	/** Rejects new requests and resolves when none is in progress. */
	async drain(): Promise<void> {
		this.refuseNewWork();
		if (this.#inProgress > 0) {
			await new Promise<void>(resolve => {
				this.#onIdle.push(resolve);
			});
		}
	}

	/** Closes the connections to the upstream. Call `drain` before, so that nothing is cut. */
	async close(): Promise<void> {
		this.#supervisor.close();
		await this.#pools.close();
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const head = parseForwardedHead(request);
		if (!head) {
			sendProblem(response, new RequestError({kind: 'malformed', detail: 'The request does not come from an entry.', remedy: 'Send it to an entry.'}), {close: true});
			return;
		}

		const error = this.#refuse(head);
		if (error) {
			request.resume();
			this.#sendRefusal(response, head, error);
			return;
		}

		this.#inProgress++;
		try {
			await this.#run(head, request, response);
		} catch (error) {
			this.#sendRefusal(response, head, toRequestError(error));
		} finally {
			this.#leave();
		}
	}

	#refuse({requestId, vm, incarnation, model, pinnedVersion}: ForwardedHead): RequestError | undefined {
		const {selfId, kind, serving, capacity} = this.#options;
		if (vm !== selfId || incarnation !== this.#options.incarnation) {
			return refusal('wrong-incarnation', 'The request is meant for another VM or an earlier incarnation.');
		}

		const known = this.#records.get(requestId);
		if (known !== undefined || this.#records.isForgotten(requestId)) {
			return new RequestError({
				kind: 'tombstone', detail: 'The request was settled before it arrived.', remedy: 'Send a new request.', outcome: known?.state === 'not-run' ? 'not-run' : 'unknown',
			});
		}

		if (this.#isRefusing) {
			return refusal('leaving', 'This VM is leaving.');
		}

		if (this.#inProgress >= this.#limit) {
			return refusal('overloaded', `This VM runs ${this.#inProgress} requests of ${capacity}.`);
		}

		if (kind === 'engine' && !serving().some(({name, manifest}) => name === model && (pinnedVersion === undefined || pinnedVersion === manifest))) {
			return refusal('wrong-version', 'This VM does not serve the model in a verified version.');
		}

		return undefined;
	}

	async #run(head: ForwardedHead, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const deadlineAt = this.#clock.monotonic() + head.deadlineMs;
		const record = this.#records.begin(head.requestId, head.repeatable);
		const body = await this.#receive(record, request);
		if (record.isFinished || this.#clock.monotonic() >= deadlineAt) {
			record.finish('not-run');
			throw new RequestError({kind: 'tombstone', detail: 'The request was settled before it arrived in full.', remedy: 'Send a new request.'});
		}

		record.state = 'running';
		const run = this.#createRun(head, {
			record, response, deadlineAt, exchange: this.#exchangeRequest(head, request, body),
		});
		this.#supervisor.add(run);
		const end = await run.run();
		this.#supervisor.remove(run);
		this.#report(end, head, response);
	}

	async #receive(record: RequestRecord, request: IncomingMessage): Promise<Uint8Array | undefined> {
		try {
			return await readLimitedBody(request, MAX_FORWARDED_BODY_BYTES);
		} catch (error) {
			record.finish('not-run');
			throw error;
		}
	}

	#exchangeRequest(head: ForwardedHead, request: IncomingMessage, body: Uint8Array | undefined): ExchangeRequest {
		const headers = ['x-request-id', head.requestId];
		if (this.#options.kind === 'engine') {
			headers.push('priority', head.priority);
		}

		appendRequestHeaders(headers, request.rawHeaders, request.headers.connection);
		this.#options.onLiveBytes?.(body?.byteLength ?? 0);
		return {
			method: request.method ?? 'GET', path: (request.url ?? '/').slice(PREFIX.length), headers, body,
		};
	}

	#createRun(head: ForwardedHead, {record, response, deadlineAt, exchange}: {
		readonly record: RequestRecord;
		readonly response: ServerResponse;
		readonly deadlineAt: number;
		readonly exchange: ExchangeRequest;
	}): UpstreamRun {
		const {kind, upstreamAddress, serving, onLiveLatency = () => undefined, onLiveBytes = () => undefined} = this.#options;
		return new UpstreamRun({
			head, kind, response, record, deadlineAt, serving,
			request: exchange,
			records: this.#records,
			dispatcher: this.#pools.get(upstreamAddress),
			identity: () => this.#identity(head),
			now: this.#clock.monotonic,
			onFirstByte: onLiveLatency,
			onBytes: onLiveBytes,
		});
	}

	#report(end: RunEnd, head: ForwardedHead, response: ServerResponse): void {
		this.#options.metrics.count('requests.upstream', {result: end.kind === 'failed' ? end.error.kind : end.kind});
		if (end.kind === 'failed') {
			this.#sendRefusal(response, head, end.error);
		}
	}

	#sendRefusal(response: ServerResponse, head: ForwardedHead, error: RequestError): void {
		if (!response.headersSent) {
			const identity = this.#identity(head);
			for (let i = 0; i < identity.length; i += 2) {
				response.setHeader(identity[i], identity[i + 1]);
			}
		}

		sendProblem(response, error);
	}

	#identity({requestId}: ForwardedHead): readonly string[] {
		return [REQUEST_ID, requestId, VM, this.#options.selfId, INCARNATION, String(this.#options.incarnation), LOAD, String(this.#inProgress)];
	}

	#settle({requestId, incarnation}: SettleQuestion): SettleAnswer {
		return incarnation === this.#options.incarnation ? this.#records.settle(requestId) : UNKNOWN;
	}

	async #answer({requestId, incarnation, waitMs}: AnswerQuestion): Promise<AnswerReply> {
		const settled = this.#settle({requestId, incarnation});
		const record = this.#records.get(requestId);
		if (settled.state === 'unknown' || !record) {
			return settled;
		}

		if (!record.isFinished) {
			const timer = new AbortController();
			await Promise.race([record.finished(), this.#clock.sleep(waitMs, timer.signal)]);
			timer.abort();
		}

		return {...record.describe(), answer: record.answer};
	}

	#leave(): void {
		this.#inProgress--;
		if (this.#inProgress === 0) {
			const waiting = this.#onIdle;
			this.#onIdle = [];
			for (const resume of waiting) {
				resume();
			}
		}
	}
}
