import {ShutdownSequence, type Phase} from '@yuccawood/lifecycle';
import {
	OrderLock, UpstreamLease, type ServedVersion, type UpstreamSummary,
} from '@yuccawood/membership';
import {HttpModelEngine, HttpWeightOrigin} from '@yuccawood/platform';
import {AgentRequests} from '@yuccawood/requests';
import {WeightManager} from '@yuccawood/weights';
import {Node} from './node.js';
import {splitAddress} from './split-address.js';
import {stopAfterDrain} from './stop-after-drain.js';
import type {AgentSettings, WeightSettings} from './types.js';

/** Weights and lease of an agent whose upstream is a model engine. */
type EngineParts = {
	readonly lease: UpstreamLease;
	readonly weights: WeightManager;
};

const initialSummary = ({upstream: {kind, service, capacity}}: AgentSettings): UpstreamSummary => ({
	kind, service, capacity, ready: false, served: [], held: [],
});

const createEngineParts = (node: Node, {id, upstream, platform}: AgentSettings, weightSettings: WeightSettings): EngineParts => {
	const {
		log, metrics, clock, random, keyValue, gossip, configuration, peerServer,
	} = node;
	const orderLock = upstream.orderLock === undefined ? undefined : new OrderLock(splitAddress(upstream.orderLock));
	const lease = new UpstreamLease({
		keyValue, vm: id, owner: `${id}/${gossip.self.incarnation}`, clock, log: log.part('lease'), metrics,
		ttlMs: platform.leaseTtlMs, checksFencing: upstream.checksFencing, orderLock,
	});
	const {origin, ...settings} = weightSettings;
	const weights = new WeightManager({
		selfId: id, service: upstream.service, members: gossip, configuration, peerServer, settings, clock, random, log, metrics,
		origin: new HttpWeightOrigin({address: origin}),
		engine: new HttpModelEngine({address: upstream.address}),
		fencing: lease.fencing,
	});
	return {lease, weights};
};

/** Runs an agent until it has stopped as planned. */
export const runAgent = async (settings: AgentSettings): Promise<void> => {
	const node = new Node({settings, role: 'agent', upstream: initialSummary(settings)});
	const {
		log, metrics, clock, gossip, configuration, lifecycle, peerServer,
	} = node;
	const engine = settings.weights && createEngineParts(node, settings, settings.weights);
	const {upstream} = settings;
	const requests = new AgentRequests({
		selfId: settings.id, incarnation: gossip.self.incarnation, upstreamAddress: upstream.address, kind: upstream.kind, service: upstream.service,
		capacity: upstream.capacity, serving: () => engine?.weights.serving ?? [], peerServer, log: log.part('requests'), metrics, clock,
		onLiveLatency(milliseconds) {
			engine?.weights.reportLiveLatency(milliseconds);
		},
		onLiveBytes(bytes) {
			engine?.weights.reportLiveBytes(bytes);
		},
	});

	const publishReadiness = (served: readonly ServedVersion[]): void => {
		const summary = gossip.self.upstream ?? initialSummary(settings);
		const ready = configuration.current !== undefined && (upstream.kind === 'service' || served.length > 0);
		gossip.updateSelf({upstream: {...summary, served, ready}});
	};

	const followPhase = (phase: Phase): void => {
		if (phase === 'serving') {
			requests.acceptNewWork();
			gossip.updateSelf({status: 'alive'});
			return;
		}

		requests.refuseNewWork();
		void gossip.leave();
	};

	const shutdown = new ShutdownSequence({
		clock,
		log: log.part('lifecycle'),
		metrics,
		steps: [
			{
				name: 'finish requests',
				run: async () => requests.drain(),
				limitMs: settings.stopLimitMs,
			},
			{
				name: 'end tasks',
				async run() {
					node.endTasks();
					await gossip.depart();
					await engine?.lease.stopped();
				},
			},
			{
				name: 'close',
				async run() {
					await requests.close();
					await node.close();
				},
			},
		],
	});
	const stopped = stopAfterDrain({
		lifecycle, shutdown, stopsAlways: false, onPhase: followPhase,
	});

	requests.refuseNewWork();
	await node.start();
	void configuration.ready.then(() => {
		publishReadiness(engine?.weights.serving ?? []);
		lifecycle.markServing();
	});
	void engine?.lease.start(node.signal);
	void engine?.weights.changes.observe(publishReadiness);
	void engine?.weights.start(node.signal);
	log.info('Agent started.', {upstream: upstream.address, service: upstream.service});
	await stopped;
};
