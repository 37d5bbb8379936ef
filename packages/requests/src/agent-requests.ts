/** Runs forwarded requests at the upstream of this VM, and answers queries of entries about their state. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	SystemClock, type Clock, type InvariantChecker, type Log, type Metrics, type PeerServer,
} from '@yuccawood/common';
import {findRejection} from './agent-admission.js';
import type {AgentRequestsOptions} from './agent-requests-options.js';
import {readLimitedBody} from './call.js';
import {MAX_FORWARDED_BODY_BYTES} from './constants.js';
import {RequestError} from './errors.js';
import type {VersionCheck} from './engine-response.js';
import type {ExchangeRequest} from './exchange.js';
import {parseForwardedHead, type ForwardedHead} from './forwarded-head.js';
import {
	DEATH_ID, DEATH_FINGERPRINTS, INCARNATION, LOAD, REQUEST_ID, VM, appendRequestHeaders,
} from './headers.js';
import {sendProblem, toRequestError} from './problem.js';
import {RequestRecords, type RequestRecord} from './request-records.js';
import type {
	AnswerQuery, AnswerReply, DeathReport, SettleReply, SettleQuery,
} from './types.js';
import {Upstream} from './upstream.js';
import type {RunResult} from './run-types.js';

/** Path prefix of forwarded requests on the peer server. */
const PATH_PREFIX = '/requests';

/** Reply to a query that names another incarnation of this agent. */
const UNKNOWN_REPLY: SettleReply = {
	state: 'unknown', headSent: false, bytesSent: 0, kept: false,
};

/** Registers its handlers on the peer server: `/requests/...` for forwarded requests, and the methods `requests.settle` and `requests.answer` for queries. */
export class AgentRequests {
	readonly #options: AgentRequestsOptions;
	readonly #clock: Clock;
	readonly #records = new RequestRecords();
	readonly #upstream: Upstream;

	/** Limit on requests in progress: the capacity of the upstream plus its queue. */
	readonly #maxInProgress: number;
	#inProgress = 0;
	#isRejecting = false;

	/** Resolve the `drain` calls that wait until no request is in progress. */
	#idleResolvers: Array<() => void> = [];

	constructor(options: AgentRequestsOptions) {
		const {
			clock = new SystemClock(), capacity, queueLimit = Math.ceil(capacity / 4), peerServer, upstreamAddress, onFirstByteLatency: onLiveLatency = () => undefined, onTransferredBytes: onLiveBytes = () => undefined,
		} = options;
		this.#options = options;
		this.#clock = clock;
		this.#maxInProgress = capacity + queueLimit;
		const isServed: VersionCheck = (name, manifest) => options.serving().some(version => version.name === name && version.manifest === manifest);
		this.#upstream = new Upstream({
			...options, isVerified: options.isVerified ?? isServed, address: upstreamAddress, clock, records: this.#records, onFirstByteLatency: onLiveLatency, onTransferredBytes: onLiveBytes,
		});
		peerServer.registerHandler(`${PATH_PREFIX}/`, async (request, response) => this.#handle(request, response));
		peerServer.method('requests.settle', async (query: SettleQuery) => this.#settle(query));
		peerServer.method('requests.answer', async (query: AnswerQuery) => this.#waitForAnswer(query));
	}

	/** Accepted requests that are not finished, including those whose entry has disconnected. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Rejects new requests as `not-run` until `acceptNewRequests`. */
	rejectNewRequests(): void {
		this.#isRejecting = true;
	}

	/** Reverts `rejectNewRequests`. */
	acceptNewRequests(): void {
		this.#isRejecting = false;
	}

	/** Rejects new requests and resolves when none is in progress. */
	async drain(): Promise<void> {
		this.rejectNewRequests();
		if (this.#inProgress > 0) {
			await new Promise<void>(resolve => {
				this.#idleResolvers.push(resolve);
			});
		}
	}

	/** Closes the connections to the upstream. Call `drain` first; requests in progress are interrupted. */
	async close(): Promise<void> {
		await this.#upstream.close();
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const head = parseForwardedHead(request);
		if (!head) {
			sendProblem(response, new RequestError({kind: 'malformed', detail: 'The request does not come from an entry.', remedy: 'Send it to an entry.'}), {close: true});
			return;
		}

		const error = this.#findRejection(head);
		if (error) {
			request.resume();
			this.#sendError(response, head, error);
			return;
		}

		this.#inProgress++;
		try {
			await this.#run(head, request, response);
		} catch (error) {
			this.#sendError(response, head, toRequestError(error));
		} finally {
			this.#onRequestFinished();
		}
	}

	#findRejection(head: ForwardedHead): RequestError | undefined {
		const {selfId, incarnation, kind, serving} = this.#options;
		return findRejection(head, {
			selfId, incarnation, kind, serving,
			records: this.#records,
			inProgress: this.#inProgress,
			maxInProgress: this.#maxInProgress,
			isRejecting: this.#isRejecting,
			upstream: this.#upstream,
		});
	}

	async #run(head: ForwardedHead, request: IncomingMessage, response: ServerResponse): Promise<void> {
		const deadlineAt = this.#clock.monotonic() + head.deadlineMs;
		const earlierRecord = this.#records.get(head.requestId);
		this.#options.invariants?.check('runs-once', earlierRecord === undefined, {requestId: head.requestId, state: earlierRecord?.state});
		const record = this.#records.begin(head.requestId, head.repeatable);
		const body = await this.#receiveBody(record, request);
		if (record.isFinished || this.#clock.monotonic() >= deadlineAt) {
			record.finish('not-run');
			throw new RequestError({kind: 'tombstone', detail: 'The request was settled before it arrived in full.', remedy: 'Send a new request.'});
		}

		record.state = 'running';
		const result = await this.#upstream.run({
			head, record, response, deadlineAt, request: this.#createUpstreamRequest(head, request, body), identityHeaders: () => this.#identityHeaders(head),
		});
		this.#reportRun(result, head, {response, death: record.death});
	}

	async #receiveBody(record: RequestRecord, request: IncomingMessage): Promise<Uint8Array | undefined> {
		try {
			return await readLimitedBody(request, MAX_FORWARDED_BODY_BYTES);
		} catch (error) {
			record.finish('not-run');
			throw error;
		}
	}

	/** The request for the upstream: the caller's, with this request's id and, for an engine, the account's priority. */
	#createUpstreamRequest(head: ForwardedHead, request: IncomingMessage, body: Uint8Array | undefined): ExchangeRequest {
		const headers = ['x-request-id', head.requestId];
		if (this.#options.kind === 'engine') {
			headers.push('priority', head.priority);
		}

		appendRequestHeaders(headers, request.rawHeaders, request.headers.connection);
		this.#options.onTransferredBytes?.(body?.byteLength ?? 0);
		return {
			method: request.method ?? 'GET', path: (request.url ?? '/').slice(PATH_PREFIX.length), headers, body,
		};
	}

	/** Counts the result, and answers the entry if the run failed, with the death that ended it if any. */
	#reportRun(result: RunResult, head: ForwardedHead, {response, death}: {readonly response: ServerResponse; readonly death: DeathReport | undefined}): void {
		this.#options.metrics.count('requests.upstream', {result: result.kind === 'failed' ? result.error.kind : result.kind});
		if (death && death.fingerprints.length > 0 && !response.headersSent) {
			response.setHeader(DEATH_ID, death.deathId);
			response.setHeader(DEATH_FINGERPRINTS, death.fingerprints.join(','));
		}

		if (result.kind === 'failed') {
			this.#sendError(response, head, result.error);
		}
	}

	#sendError(response: ServerResponse, head: ForwardedHead, error: RequestError): void {
		if (!response.headersSent) {
			const headers = this.#identityHeaders(head);
			for (let i = 0; i < headers.length; i += 2) {
				response.setHeader(headers[i], headers[i + 1]);
			}
		}

		sendProblem(response, error);
	}

	/** Headers by which the entry verifies that the response belongs to its request and this incarnation, and the current load. */
	#identityHeaders({requestId}: ForwardedHead): readonly string[] {
		return [REQUEST_ID, requestId, VM, this.#options.selfId, INCARNATION, String(this.#options.incarnation), LOAD, String(this.#inProgress)];
	}

	/** Replies to `requests.settle`. Waits for an inspection in progress, so that the reply names the death that ended the request. */
	async #settle({requestId, incarnation}: SettleQuery): Promise<SettleReply> {
		await this.#upstream.waitForInspection();
		return incarnation === this.#options.incarnation ? this.#records.settle(requestId) : UNKNOWN_REPLY;
	}

	/** Replies to `requests.answer` when the request is finished or after `waitMs`. */
	async #waitForAnswer({requestId, incarnation, waitMs}: AnswerQuery): Promise<AnswerReply> {
		const reply = await this.#settle({requestId, incarnation});
		const record = this.#records.get(requestId);
		if (reply.state === 'unknown' || !record) {
			return reply;
		}

		if (!record.isFinished) {
			const timer = new AbortController();
			await Promise.race([record.waitUntilFinished(), this.#clock.sleep(waitMs, timer.signal)]);
			timer.abort();
		}

		return {...record.toSettleReply(), answer: record.answer};
	}

	#onRequestFinished(): void {
		this.#inProgress--;
		if (this.#inProgress === 0) {
			const resolvers = this.#idleResolvers;
			this.#idleResolvers = [];
			for (const resolve of resolvers) {
				resolve();
			}
		}
	}
}
