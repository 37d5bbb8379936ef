import {
	MemoryMetrics, seededRandom, SILENT_LOG, type Clock,
} from '@yuccawood/common';
import {Gossip} from '../gossip.js';
import type {GossipOptions, OwnDescription} from '../gossip-options.js';
import {VirtualNetwork, type VirtualHost} from './virtual-network.js';
import {VirtualTime} from './virtual-time.js';

export type ClusterNode = {
	readonly gossip: Gossip;
	readonly host: VirtualHost;
	readonly metrics: MemoryMetrics;

	/** Ends the process without a leave notice, as SIGKILL does. */
	readonly kill: () => void;
};

/** Gossip instances on one virtual network. Their random numbers all derive from one seed. */
export class GossipCluster {
	readonly time = new VirtualTime();
	readonly network: VirtualNetwork;
	readonly nodes = new Map<string, ClusterNode>();
	readonly #seed: string;
	readonly #options: Partial<GossipOptions>;
	#startCount = 0;

	constructor({seed, ...options}: Partial<GossipOptions> & {readonly seed: string}) {
		this.#seed = seed;
		this.#options = options;
		this.network = new VirtualNetwork({time: this.time});
	}

	/** Starts a process. Another start with the same id uses the same address. Resolves when the process has joined. */
	async start(id: string, {self = {}, ...options}: Partial<Omit<GossipOptions, 'self'>> & {readonly self?: Partial<OwnDescription>; readonly clock?: Clock} = {}): Promise<ClusterNode> {
		const address = self.address ?? `10.0.0.1:${id}`;
		const host = this.network.addHost(address);
		const metrics = new MemoryMetrics();
		const controller = new AbortController();
		this.#startCount++;
		const gossip = new Gossip({
			seeds: ['10.0.0.1:n0', '10.0.0.1:n1', '10.0.0.1:n2'], clock: host.clock, random: seededRandom(`${this.#seed} ${this.#startCount}`),
			log: SILENT_LOG, metrics, peerServer: host.peerServer, peerClient: host.peerClient, ...this.#options, ...options,
			self: {
				id, role: 'agent', address, region: 'western', failureDomain: 'western-a', ...self,
			},
		});
		const node: ClusterNode = {
			gossip, host, metrics,
			kill: () => {
				controller.abort();
				// If a later process has taken over this id, its host must stay.
				if (this.nodes.get(id) === node) {
					this.network.removeHost(address);
					this.nodes.delete(id);
				}
			},
		};
		this.nodes.set(id, node);
		let isJoined = false;
		const join = async (): Promise<void> => {
			await gossip.start(controller.signal);
			isJoined = true;
		};

		void join();
		await this.time.advanceUntil(() => isJoined, {limitMs: 10_000, stepMs: 10});
		return node;
	}

	/** Starts `count` processes with the ids `n0`, `n1` and so on. */
	async startMany(count: number): Promise<void> {
		for (let i = 0; i < count; i++) {
			await this.start(`n${i}`);
		}
	}

	get runningNodes(): readonly ClusterNode[] {
		return [...this.nodes.values()];
	}

	/** True if the table of every process contains all processes with the given status and no others. */
	hasConverged(status = 'alive'): boolean {
		return this.runningNodes.every(({gossip}) => gossip.members.length === this.nodes.size && gossip.members.every(member => member.status === status));
	}

	/** Number of processes whose table has the member with this status; `undefined` counts those that do not know it. */
	countObservers(id: string, status: string | undefined): number {
		return this.runningNodes.filter(({gossip: {find}}) => find(id)?.status === status).length;
	}

	stopAll(): void {
		for (const {kill} of this.runningNodes) {
			kill();
		}
	}
}
