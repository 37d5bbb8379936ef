/** HTTP server for callers: reads and checks their requests, and runs one {@link Exchange} for each accepted one. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import {describeError, type Log} from '@yuccawood/common';
import type {CrashReview} from '@yuccawood/crashes';
import {RouteTable} from '@yuccawood/dispatch';
import type {Upstream, UpstreamReport} from '@yuccawood/fleet';
import {AcceptBacklog} from './accept-backlog.js';
import {CallerConnections} from './caller-connections.js';
import {CONNECTION_CHECK_MS, DEFAULT_HEADER_BYTES, DEFAULT_STOP_LISTENING_MS} from './constants.js';
import {createCrashWatch} from './create-crash-watch.js';
import {DecisionLog} from './decision-log.js';
import {Exchange} from './exchange.js';
import {ExpiryWatch} from './expiry-watch.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayOptions} from './gateway-options.js';
import {LagWatch} from './lag-watch.js';
import {endOfShortTurn, handlePendingEvents} from './pending-events.js';
import {PathProbes} from './path-probes.js';
import {scheduleTimer} from './placement.js';
import {Placer} from './placer.js';
import {eventLoopTimes, ReadDelay} from './read-delay.js';
import {RequestIntake} from './request-intake.js';
import {RetryBudgets} from './retry-budgets.js';
import {RunningExchanges} from './running-exchanges.js';
import {assumedEntryCount, UpstreamStates} from './upstream-states.js';
import {VersionExpiryLog} from './version-expiry-log.js';
import {WorkGate} from './work-gate.js';

export class Gateway {
	readonly exchanges: RunningExchanges;
	readonly #options: GatewayOptions;
	readonly #context: GatewayContext;
	readonly #log: Log;
	readonly #versionExpiryLog: VersionExpiryLog;
	readonly #connections: CallerConnections;
	readonly #backlog: AcceptBacklog;
	readonly #intake: RequestIntake;
	readonly #retryBudgets: RetryBudgets;
	#server: http.Server | undefined;
	#routeTable: RouteTable | undefined;
	#isDraining = false;
	#inProgress = 0;

	/** Monotonic time in milliseconds at which a connection was accepted or a request was read last. */
	#usedAt = 0;

	constructor(options: GatewayOptions) {
		const {view, clock, random, metrics, log} = options;
		this.#options = options;
		this.#connections = new CallerConnections(clock.monotonic);
		this.#backlog = new AcceptBacklog({clock});
		this.#retryBudgets = new RetryBudgets({...options.retryBudget, entries: () => assumedEntryCount(view)});
		this.#log = log.part('gateway');
		const decisions = new DecisionLog({log, clock});
		const states = new UpstreamStates({
			...options,
			log: this.#log,
			onExtraBytes({id, address}, requestId) {
				metrics.count('gateway.excess_bytes');
				decisions.unusual(requestId, 'Bytes followed a complete answer.', () => ({upstream: id, address}));
			},
		});
		const crashes = createCrashWatch(options, states);
		const readDelay = new ReadDelay(eventLoopTimes(clock.monotonic));
		this.exchanges = new RunningExchanges({clock});
		const placer = new Placer({
			states, clock: {monotonic: clock.monotonic, schedule: scheduleTimer}, random, metrics,
		});
		this.#context = {
			...options,
			regions: options.regions ?? (() => new Map()),
			states,
			placer,
			pathProbes: new PathProbes({
				probe: options.probePath, clock, log: this.#log, metrics,
				hasAgent: ({upstream}) => states.isEngine(upstream),
				isListed: ({upstream}) => states.has(upstream.key),
				onProven({upstream}) {
					placer.placeQueued(upstream.service);
				},
			}),
			...crashes,
			expiryWatch: new ExpiryWatch(),
			gate: new WorkGate({
				clock, isHeld: () => this.#backlog.isDraining, onTurn() {
					readDelay.look();
				},
			}),
			readDelay,
			lag: new LagWatch({...options, backlog: this.#backlog}),
			retryBudgetOf: service => this.#retryBudgets.of(service),
			isDraining: () => this.#isDraining,
			stopLimit: this.exchanges.stopLimit,
			decisions,
		};
		this.#intake = new RequestIntake({...this.#context, routeTable: () => this.#routeTable});
		this.#versionExpiryLog = new VersionExpiryLog({...options, log: this.#log});
		view.onChange(change => {
			switch (change) {
				case 'upstreams':
				case 'evacuations':
				case 'entries': {
					states.refresh();
					this.#context.placer.placeAllQueued();
					break;
				}

				case 'configuration': {
					this.#routeTable = new RouteTable(view.inForce!.configuration);
					this.#applyLimits();
					states.refresh();
					break;
				}

				case 'targets': {
					this.#versionExpiryLog.refresh();
					this.#context.expiryWatch.check();
					break;
				}

				case 'crashers': {
					crashes.crashReview.applyShared(view.crashCounts);
					break;
				}

				case 'engines': {
					break;
				}
			}
		});
	}

	/** Longest time, in milliseconds, for which an event may have waited until this process handled it. */
	get readDelayMs(): number {
		return this.#context.readDelay.boundMs;
	}

	/** Number of requests that have no final answer yet. */
	get inProgress(): number {
		return this.#inProgress;
	}

	/** Time in milliseconds for which no caller has used this entry. */
	get unusedMs(): number {
		return this.#inProgress > 0 ? 0 : this.#context.clock.monotonic() - this.#usedAt;
	}

	/** Number of queued requests by service. */
	get queueLengths(): ReadonlyMap<string, number> {
		return this.#context.placer.queueLengths;
	}

	/** Whether this entry can serve: it has a configuration and at least one upstream. */
	get canServe(): boolean {
		return this.#routeTable !== undefined && this.#options.view.upstreams.length > 0;
	}

	/** Engines in the subset of this entry, whose agents it should receive reports from. */
	get enginesInSubset(): readonly Upstream[] {
		return this.#context.states.enginesInSubset;
	}

	/** What this entry knows of crashes of upstreams. */
	get crashReview(): CrashReview {
		return this.#context.crashReview;
	}

	/** Updates the state of an upstream from a report of its agent. */
	applyUpstreamReport(report: UpstreamReport): void {
		const state = this.#context.states.atAddress(report.address);
		if (state) {
			state.applyAgentReport(report, this.#options.clock.monotonic());
			this.#context.placer.placeQueued(state.upstream.service);
		}
	}

	async listen(host: string, port: number): Promise<void> {
		const limits = this.#options.view.inForce?.configuration.limits;
		const server = http.createServer({
			maxHeaderSize: limits?.headerBytes ?? DEFAULT_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_MS, noDelay: true,
		}, (request, response) => {
			void this.#handle(request, response);
		});
		server.requestTimeout = 0;
		server.on('connection', socket => {
			this.#usedAt = this.#context.clock.monotonic();
			this.#connections.add(socket, this.#backlog.recordAccept(this.#context.readDelay.boundMs));
		});
		this.#server = server;
		this.#context.readDelay.start();
		this.#context.lag.start();
		this.#applyLimits();
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen({
				host, port, backlog: 1024,
			}, () => {
				server.off('error', reject);
				resolve();
			});
		});
	}

	/** From now on, answers carry `connection: close` so that callers open new connections elsewhere. Requests are still served. */
	beginDraining(): void {
		this.#isDraining = true;
	}

	/**
	Stops accepting connections once none waits, because the kernel resets those that do. One that opens after the last poll of the
	sockets can't be seen, so that poll must be recent. Open ones stay open: the HTTP server's own method would close those whose
	request has not been read.

	@param maxWaitMs time after which it stops all the same, in milliseconds
	*/
	async stopListening({maxWaitMs = DEFAULT_STOP_LISTENING_MS}: {readonly maxWaitMs?: number} = {}): Promise<void> {
		const {clock} = this.#context;
		const end = clock.monotonic() + maxWaitMs;
		await handlePendingEvents(clock);
		await endOfShortTurn(clock, {end, isHeld: () => this.#backlog.isDraining});
		if (this.#server) {
			NetServer.prototype.close.call(this.#server);
		}
	}

	/** Closes idle connections. To be called repeatedly while the last requests end. @returns the number of those that remain */
	async closeIdleConnections(): Promise<number> {
		// The next request on a connection may have arrived while this process was busy.
		await handlePendingEvents(this.#context.clock);
		return this.#connections.closeIdle();
	}

	/** Closes all remaining connections, including those with requests in progress. */
	close(): void {
		this.#server?.close();
		this.#connections.closeAll();
		this.#context.pathProbes.close();
		this.#context.readDelay.stop();
		this.#context.lag.stop();
		this.#versionExpiryLog.close();
		this.#context.expiryWatch.close();
		this.#context.states.close();
	}

	#applyLimits(): void {
		const limits = this.#options.view.inForce?.configuration.limits;
		if (this.#server && limits) {
			this.#server.headersTimeout = limits.headerMs;
			this.#server.keepAliveTimeout = limits.idleMs;
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const headReadAt = this.#context.clock.monotonic();
		this.#usedAt = headReadAt;
		const arrivedAt = this.#connections.arrivalOf(request.socket, this.#context.readDelay.boundMs);
		const departure = this.#connections.departureDuring(response, request.socket);
		this.#inProgress++;
		this.#connections.beginRequest(request.socket);
		response.once('close', () => {
			this.#connections.endRequest(request.socket);
		});
		try {
			const accepted = await this.#intake.accept({
				message: request, response, departure, arrivedAt, headReadAt,
			});
			if (accepted) {
				await this.exchanges.run(new Exchange({
					context: this.#context, request: accepted, response, departure,
				}));
			}
		} catch (error) {
			this.#options.metrics.count('gateway.faults');
			this.#log.error('A request failed inside the gateway.', {requestId: this.#context.codec.readCallerHeaders(request.headers).requestId, error: error instanceof Error ? error.stack : describeError(error)});
			response.destroy();
		} finally {
			this.#inProgress--;
		}
	}
}
