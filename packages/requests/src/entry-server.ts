/** The HTTP/1.1 server of an entry, which forwards the requests of callers to agents. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Admission, Permit} from '@yuccawood/accounts';
import {
	systemRandom, SystemClock, type Clock, type Log, type Metrics, type PeerClient, type PeerServer, type Random,
} from '@yuccawood/common';
import type {ConfigurationSource} from '@yuccawood/configuration';
import {ReadDelay, WorkGate, eventLoopTimes} from '@yuccawood/gateway';
import type {MemberTable} from '@yuccawood/membership';
import type {KeyValueService} from '@yuccawood/interfaces';
import {readCall, type Call} from './call.js';
import {CallerResponse} from './caller-response.js';
import {Claims, type Claim} from './claims.js';
import {answerClientError} from './client-errors.js';
import {createCrashReview} from './create-crash-review.js';
import {ConnectionPools} from './connection-pools.js';
import {
	BODY_TIMEOUT_MS, DRAIN_GRACE_MS, HEADERS_TIMEOUT_MS, MAX_HEADER_BYTES, RETRY_AFTER_SECONDS,
} from './constants.js';
import {DeathReporter} from './death-reporter.js';
import type {EntryContext} from './entry-context.js';
import type {EntryServerOptions} from './entry-server-options.js';
import {RequestError} from './errors.js';
import {Forwarding} from './forwarding.js';
import {sendProblem, toRequestError} from './problem.js';
import {Quarantine} from './quarantine.js';
import {RequestIds} from './request-ids.js';
import {RetryBudget} from './retry-budget.js';
import {Router} from './router.js';
import {Settlement} from './settlement.js';
import {Supervisor} from './supervisor.js';
import {TargetQueues} from './target-queues.js';

/** Reads, admits and forwards each request; answers `/healthz` itself. */
export class EntryServer {
	readonly #options: EntryServerOptions;
	readonly #clock: Clock;
	readonly #context: EntryContext;
	readonly #claims: Claims;
	readonly #readDelay: ReadDelay;
	readonly #ids: RequestIds;
	readonly #server: http.Server;
	#address = '';
	#inProgress = 0;
	#isDraining = false;

	/** Monotonic time in milliseconds from which connections may be closed with requests in progress. */
	#answerBy = Number.POSITIVE_INFINITY;
	#onIdle: (() => void) | undefined;

	constructor(options: EntryServerOptions) {
		const {
			selfId, members, peerClient, peerServer, keyValue, log, metrics, clock = new SystemClock(), random = systemRandom(),
		} = options;
		const quarantine = new Quarantine({clock});
		const crashReview = createCrashReview(options, clock);
		const router = new Router({members, random, clock});
		const settlement = new Settlement({client: peerClient});
		this.#options = options;
		this.#clock = clock;
		this.#readDelay = new ReadDelay(eventLoopTimes(clock.monotonic));
		this.#ids = new RequestIds({selfId, incarnation: members.self.incarnation});
		this.#context = {
			ids: this.#ids,
			router,
			queues: new TargetQueues({router}),
			pools: new ConnectionPools(),
			gate: new WorkGate({
				clock, onTurn: () => {
					this.#readDelay.look();
				},
			}),
			settlement,
			supervisor: new Supervisor({clock, log}),
			budget: new RetryBudget(),
			quarantine,
			crashReview,
			deathReporter: new DeathReporter({
				members, client: peerClient, server: peerServer, quarantine, crashReview, clock, log, metrics,
			}),
			clock,
			log,
			metrics,
		};
		this.#claims = new Claims({
			keyValue, settlement, clock, log,
		});
		this.#server = http.createServer({
			maxHeaderSize: MAX_HEADER_BYTES, headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: BODY_TIMEOUT_MS, noDelay: true,
		}, (request, response) => {
			void this.#handle(request, response);
		});
		this.#server.on('clientError', (error, socket) => {
			answerClientError(error, socket, metrics);
		});
	}

	/** `IP:port` that the server listens on; empty before `start`. */
	get address(): string {
		return this.#address;
	}

	/** Requests that have not been answered in full. */
	get inProgress(): number {
		return this.#inProgress;
	}

	async start(): Promise<void> {
		const separator = this.#options.listen.lastIndexOf(':');
		const host = this.#options.listen.slice(0, separator);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(Number(this.#options.listen.slice(separator + 1)), host, resolve);
		});
		const bound = this.#server.address();
		this.#address = `${host}:${typeof bound === 'object' && bound ? bound.port : 0}`;
		this.#context.supervisor.add(this.#context.queues);
		this.#context.supervisor.start();
		this.#claims.start();
		this.#readDelay.start();
	}

	/**
	Reports unhealthy but accepts requests for a grace period, then closes the listener. Resolves when no request is in progress.

	@param limitMs time in milliseconds after which the caller of this method closes all connections. A request whose deadline is
	later is refused, as it could be cut.
	*/
	async drain({limitMs = Number.POSITIVE_INFINITY}: {readonly limitMs?: number} = {}): Promise<void> {
		this.#isDraining = true;
		this.#answerBy = this.#clock.monotonic() + limitMs;
		await this.#clock.sleep(this.#options.drainGraceMs ?? DRAIN_GRACE_MS);
		this.#server.close();
		this.#server.closeIdleConnections();
		if (this.#inProgress > 0) {
			await new Promise<void>(resolve => {
				this.#onIdle = resolve;
			});
		}
	}

	/** Closes all connections at once. Call `drain` first; requests in progress are interrupted. */
	async close(): Promise<void> {
		this.#server.close();
		this.#server.closeAllConnections();
		this.#context.supervisor.close();
		this.#claims.close();
		this.#readDelay.stop();
		this.#context.router.close();
		await this.#context.pools.close();
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		if (request.url === '/healthz') {
			this.#answerHealth(response);
			return;
		}

		const requestId = this.#ids.next();
		const arrivedAt = this.#clock.monotonic() - this.#readDelay.boundMs;
		const startedAt = this.#clock.monotonic();
		this.#inProgress++;
		if (this.#isDraining) {
			response.setHeader('connection', 'close');
		}

		let result = 'answered';
		const callerResponse = new CallerResponse({response, requestId});
		try {
			await this.#forward(request, callerResponse, {requestId, arrivedAt});
		} catch (error) {
			const failure = toRequestError(error);
			result = failure.kind;
			this.#sendFailure(response, callerResponse, failure);
		} finally {
			this.#inProgress--;
			this.#options.metrics.count('requests.finished', {result});
			this.#options.metrics.timing('requests.duration', this.#clock.monotonic() - startedAt);
			if (this.#inProgress === 0) {
				this.#onIdle?.();
			}
		}
	}

	#answerHealth(response: ServerResponse): void {
		response.writeHead(this.#isDraining ? 503 : 200, {'content-type': 'text/plain'});
		response.end(this.#isDraining ? 'leaving\n' : 'ok\n');
	}

	/** @throws {RequestError} when the request is invalid, is not admitted or cannot be answered. */
	async #forward(request: IncomingMessage, response: CallerResponse, {requestId, arrivedAt}: Pick<Call, 'requestId' | 'arrivedAt'>): Promise<void> {
		const {current} = this.#options.configuration;
		if (!current) {
			throw new RequestError({
				kind: 'no-agent', detail: 'This entry has no configuration yet.', remedy: 'Try again later.', retryAfterSeconds: RETRY_AFTER_SECONDS,
			});
		}

		const call = await readCall(request, {requestId, configuration: current.configuration, arrivedAt});
		if (call.deadlineAt > this.#answerBy) {
			throw new RequestError({
				kind: 'leaving', detail: 'This entry stops before the deadline of the request.', remedy: 'Send it again on a new connection.', retryAfterSeconds: RETRY_AFTER_SECONDS,
			});
		}

		const permit = await this.#admit(call);
		try {
			await new Forwarding({
				context: this.#context, call, permit, response, claim: this.#beginClaim(call, permit),
			}).run();
		} finally {
			permit.release();
		}
	}

	/** Only a non-repeatable call with an idempotency key needs a claim. */
	#beginClaim(call: Call, {account}: Permit): Claim | undefined {
		return call.repeatable || call.idempotencyKey === undefined ? undefined : this.#claims.begin(call, account);
	}

	/** @throws {RequestError} when the account is unknown or a limit is reached. */
	async #admit({bearer, deadlineAt, target}: Call): Promise<Permit> {
		const admitted = await this.#options.admission.admit({bearer, pool: `${target.kind}:${target.name}`, deadlineMs: deadlineAt - this.#clock.monotonic()});
		if (admitted.ok) {
			return admitted.val;
		}

		const {kind, detail, remedy, retryAfterSeconds} = admitted.val;
		if (kind === 'unknown-account') {
			throw new RequestError({kind: 'unauthorized', detail, remedy});
		}

		const isAccountLimit = kind === 'rate-limit' || kind === 'concurrency-limit';
		throw new RequestError({
			kind: isAccountLimit ? 'rate-limited' : 'overloaded', detail, remedy, retryAfterSeconds,
		});
	}

	#sendFailure(response: ServerResponse, callerResponse: CallerResponse, failure: RequestError): void {
		const {requestId} = callerResponse;
		if (failure.outcome !== 'not-run') {
			this.#options.log.warn('Request failed.', {
				requestId, kind: failure.kind, outcome: failure.outcome, detail: failure.detail,
			});
		}

		if (callerResponse.hasStarted) {
			callerResponse.fail(failure);
			return;
		}

		sendProblem(response, failure, {requestId, close: failure.kind === 'body-too-large' || failure.kind === 'malformed'});
	}
}
