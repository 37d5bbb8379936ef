import {ShutdownSequence, type Phase} from '@yuccawood/lifecycle';
import type {ServedVersion, UpstreamSummary} from '@yuccawood/membership';
import {AgentRequests} from '@yuccawood/requests';
import {createEngineParts, type EngineParts} from './engine-parts.js';
import {Node, type Environment} from './node.js';
import {stopAfterDrain} from './stop-after-drain.js';
import type {AgentSettings} from './types.js';

/** Time in which all entries learn that an agent leaves. */
const LEAVE_NOTICE_MS = 3000;

const initialSummary = ({upstream: {kind, service, capacity}}: AgentSettings): UpstreamSummary => ({
	kind, service, capacity, ready: false, served: [], held: [],
});

/** An agent: the only process that gives its upstream orders and passes requests to it. */
export class AgentProcess {
	readonly node: Node;
	readonly requests: AgentRequests;

	/** Resolves when the process has stopped as planned. */
	readonly stopped: Promise<void>;
	readonly #settings: AgentSettings;
	readonly #engine: EngineParts | undefined;

	constructor(settings: AgentSettings, environment?: Partial<Environment>) {
		this.#settings = settings;
		this.node = new Node({
			settings, role: 'agent', upstream: initialSummary(settings), environment,
		});
		const engine = settings.weights && createEngineParts(this.node, settings, settings.weights);
		this.#engine = engine;
		const {
			log, metrics, clock, gossip, lifecycle, peerServer,
		} = this.node;
		const {upstream} = settings;
		this.requests = new AgentRequests({
			selfId: settings.id,
			invariants: this.node.invariants,
			// Joining may raise the incarnation when the clock ran back over a restart, so it is read on each use.
			get incarnation() {
				return gossip.self.incarnation;
			},
			upstreamAddress: upstream.address, kind: upstream.kind, service: upstream.service,
			capacity: upstream.capacity, serving: () => engine?.weights.serving ?? [],
			isVerified: (name, manifest) => engine?.weights.isVerified(name, manifest) ?? false,
			peerServer, log: log.part('requests'), metrics, clock,
			onFirstByteLatency(milliseconds) {
				engine?.weights.reportLiveLatency(milliseconds);
			},
			onTransferredBytes(bytes) {
				engine?.weights.reportLiveBytes(bytes);
			},
		});
		this.stopped = stopAfterDrain({
			lifecycle, shutdown: this.#createShutdown(settings.stopLimitMs), stopsAlways: false, onPhase: this.#followPhase,
		});
	}

	/** Joins the fleet; takes requests as soon as a configuration is in force and the upstream is ready. */
	async start(): Promise<void> {
		const {node, requests} = this;
		const engine = this.#engine;
		requests.rejectNewRequests();
		await node.start();
		void this.#serveWhenConfigured();
		void engine?.lease.start(node.signal);
		void engine?.weights.changes.observe(this.#publishReadiness);
		void engine?.weights.start(node.signal);
		const {address, service} = this.#settings.upstream;
		node.log.info('Agent started.', {upstream: address, service});
	}

	async #serveWhenConfigured(): Promise<void> {
		await this.node.configuration.ready;
		this.#publishReadiness(this.#engine?.weights.serving ?? []);
		this.node.lifecycle.markServing();
	}

	readonly #publishReadiness = (served: readonly ServedVersion[]): void => {
		const {gossip, configuration} = this.node;
		const summary = gossip.self.upstream ?? initialSummary(this.#settings);
		const ready = configuration.current !== undefined && (summary.kind === 'service' || served.length > 0);
		gossip.updateSelf({upstream: {...summary, served, ready}});
	};

	readonly #followPhase = (phase: Phase): void => {
		const {gossip} = this.node;
		if (phase === 'serving') {
			this.requests.acceptNewRequests();
			gossip.updateSelf({status: 'alive'});
			return;
		}

		this.requests.rejectNewRequests();
		if (phase === 'draining') {
			void gossip.leave();
		}
	};

	#createShutdown(stopLimitMs: number): ShutdownSequence {
		const {clock, log, metrics, gossip} = this.node;
		return new ShutdownSequence({
			clock,
			log: log.part('lifecycle'),
			metrics,
			steps: [
				{
					name: 'tell members',
					run: async () => gossip.leave(),
				},
				{
					name: 'finish requests',
					run: async () => this.requests.drain(),
					limitMs: stopLimitMs,
				},
				{
					// An entry that has not heard of the leave gets a refusal; a closed connection would leave the outcome unknown.
					name: 'refuse late requests',
					run: async signal => clock.sleep(LEAVE_NOTICE_MS, signal),
				},
				{
					name: 'end tasks',
					run: async () => {
						this.node.invariants.check('stop-cuts-nothing', this.requests.inProgress === 0, {inProgress: this.requests.inProgress});
						this.node.endTasks();
						await gossip.depart();
						await this.#engine?.lease.stopped();
					},
				},
				{
					name: 'close',
					run: async () => {
						await this.requests.close();
						await this.node.close();
					},
				},
			],
		});
	}
}
