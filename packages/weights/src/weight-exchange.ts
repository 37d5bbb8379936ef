/** Creates and connects the objects that transfer manifests and chunks between the origin, the peers and this process. */
import {ABSENT_TIMEOUT_MS, MAX_ORIGIN_RETRY_MS} from './constants.js';
import {AvoidedPeers} from './avoided-peers.js';
import {ChunkFetcher} from './chunk-fetcher.js';
import {ChunkServer} from './chunk-server.js';
import {ChunkStore} from './chunk-store.js';
import {TreePlanner} from './fetch-plan.js';
import {LinkBudget} from './link-budget.js';
import {ManifestFetcher} from './manifest-fetcher.js';
import {ManifestLibrary} from './manifest-library.js';
import {OriginState} from './origin-state.js';
import {PeerChunkClient} from './peer-chunk-client.js';
import {TokenBucket} from './token-bucket.js';
import type {WeightExchangeOptions} from './types.js';
import {UploadQueue} from './upload-queue.js';

export class WeightExchange {
	readonly store: ChunkStore;
	readonly manifestLibrary = new ManifestLibrary();
	readonly linkBudget: LinkBudget;
	readonly chunks: ChunkFetcher;
	readonly manifestFetcher: ManifestFetcher;
	readonly #peers: PeerChunkClient;

	constructor(options: WeightExchangeOptions) {
		const {selfId, members, peerServer, settings, clock, metrics} = options;
		const {
			linkBytesPerSecond = Number.POSITIVE_INFINITY, crossRegionBytesPerSecond = Number.POSITIVE_INFINITY,
			originBytesPerSecond = Number.POSITIVE_INFINITY, linkShare = () => 1, storeRegion, storeBytes, maxOriginRetryMs = MAX_ORIGIN_RETRY_MS,
			absentTimeoutMs = ABSENT_TIMEOUT_MS,
		} = settings;
		this.store = new ChunkStore({limitBytes: storeBytes});
		this.linkBudget = new LinkBudget({
			clock,
			bytesPerSecond: linkBytesPerSecond,
			onSlowed() {
				metrics.count('weights.slowed_for_live_requests');
			},
		});
		this.#peers = new PeerChunkClient({selfId});
		const linkRate = (): number => this.linkBudget.bytesPerSecond * linkShare();

		// All agents of the region fetch from other regions at the same time, each its own part of the chunks, so they share the rate.
		const crossRegionRate = (): number => {
			const {region} = members.self;
			const agentsInRegion = members.members.filter(member => member.role === 'agent' && member.region === region).length;
			return crossRegionBytesPerSecond / Math.max(1, agentsInRegion);
		};

		const originState = new OriginState(clock);
		const shared = {
			...options,
			storeRegion,
			maxOriginRetryMs,
			absentTimeoutMs,
			planner: options.planner ?? new TreePlanner(),
			peers: this.#peers,
			avoidance: new AvoidedPeers(clock),
			originState,
		};
		this.manifestFetcher = new ManifestFetcher({...shared, library: this.manifestLibrary});
		this.chunks = new ChunkFetcher({
			...shared,
			link: new TokenBucket({clock, bytesPerSecond: linkRate}),
			crossRegionLink: new TokenBucket({clock, bytesPerSecond: crossRegionRate}),
			originLink: new TokenBucket({clock, bytesPerSecond: () => originBytesPerSecond}),
		});
		new ChunkServer({
			store: this.store,
			manifests: this.manifestLibrary,
			isOriginAway: hash => this.store.manifestsOf(hash).some(manifest => originState.isAway(manifest)),
			uploads: new UploadQueue({clock}),
			bucket: new TokenBucket({clock, bytesPerSecond: linkRate}),
			metrics,
		}).register(peerServer);
	}

	async close(): Promise<void> {
		await this.#peers.close();
	}
}
