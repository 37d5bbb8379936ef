import {OrderLock, UpstreamLease} from '@yuccawood/membership';
import {HttpModelEngine, HttpWeightOrigin} from '@yuccawood/interfaces';
import {WeightManager} from '@yuccawood/weights';
import type {Node} from './node.js';
import {splitAddress} from './split-address.js';
import type {AgentSettings, WeightSettings} from './types.js';

/** Parts that an agent has only if its upstream is a model engine. */
export type EngineParts = {
	readonly lease: UpstreamLease;
	readonly weights: WeightManager;
};

export const createEngineParts = (node: Node, {id, upstream, platform}: AgentSettings, weightSettings: WeightSettings): EngineParts => {
	const {
		log, metrics, clock, random, keyValue, gossip, configuration, peerServer,
	} = node;
	const orderLock = upstream.orderLock === undefined ? undefined : new OrderLock(splitAddress(upstream.orderLock));
	const lease = new UpstreamLease({
		keyValue, vmId: id, owner: `${id}/${gossip.self.incarnation}`, clock, log: log.part('lease'), metrics,
		ttlMs: platform.leaseTtlMs, engineChecksFencing: upstream.checksFencing, orderLock,
	});
	const {origin, storeRegion, ...settings} = weightSettings;
	const weights = new WeightManager({
		selfId: id, service: upstream.service, members: gossip, configuration, peerServer, settings: {...settings, storeRegion: () => storeRegion}, clock, random, log, metrics,
		origin: new HttpWeightOrigin({address: origin}),
		engine: new HttpModelEngine({address: upstream.address}),
		fencing: lease.currentFencingNumber,
	});
	return {lease, weights};
};
