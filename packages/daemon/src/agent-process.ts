import {ShutdownSequence, type Phase} from '@yuccawood/lifecycle';
import type {ServedVersion, UpstreamSummary} from '@yuccawood/membership';
import {AgentRequests} from '@yuccawood/requests';
import {createEngineParts, type EngineParts} from './engine-parts.js';
import {Node, type ProcessEnvironment} from './node.js';
import {stopAfterDrain} from './stop-after-drain.js';
import type {AgentSettings} from './types.js';

/** Time in which gossip reports a leaving agent to all entries. */
const LEAVE_PROPAGATION_MS = 3000;

const initialSummary = ({upstream: {kind, service, capacity}}: AgentSettings): UpstreamSummary => ({
	kind, service, capacity, ready: false, served: [], held: [],
});

/** Agent process. It is the only process that sends load orders and requests to its upstream. */
export class AgentProcess {
	readonly node: Node;
	readonly requests: AgentRequests;

	/** Resolves when a planned stop has completed. */
	readonly stopped: Promise<void>;
	readonly #settings: AgentSettings;
	readonly #engine: EngineParts | undefined;

	constructor(settings: AgentSettings, environment?: Partial<ProcessEnvironment>) {
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
			// Read on each use, because joining raises the incarnation if the clock went back over a restart.
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
			lifecycle, shutdown: this.#createShutdown(settings.stopLimitMs), stopsAfterEveryDrain: false, onPhase: this.#applyPhase,
		});
	}

	/** Joins the fleet. Accepts requests once a configuration is in force, and announces the upstream as ready once it can serve. */
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

	/** Announces the versions that the upstream serves. It is ready once a configuration is in force and it serves a version or is a plain service. */
	readonly #publishReadiness = (served: readonly ServedVersion[]): void => {
		const {gossip, configuration} = this.node;
		const summary = gossip.self.upstream ?? initialSummary(this.#settings);
		const ready = configuration.current !== undefined && (summary.kind === 'service' || served.length > 0);
		gossip.updateSelf({upstream: {...summary, served, ready}});
	};

	/** Accepts new requests and is announced as alive only while serving. */
	readonly #applyPhase = (phase: Phase): void => {
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
					// An entry that does not know of the leave yet gets a refusal and can retry elsewhere. After a closed connection it could not know
					// whether the request had run.
					name: 'refuse late requests',
					run: async signal => clock.sleep(LEAVE_PROPAGATION_MS, signal),
				},
				{
					name: 'end tasks',
					run: async () => {
						this.node.invariants.check('stop-cuts-nothing', this.requests.inProgress === 0, {inProgress: this.requests.inProgress});
						this.node.endTasks();
						await gossip.announceExit();
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
