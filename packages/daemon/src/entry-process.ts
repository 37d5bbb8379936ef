import {AccountAdmission} from '@yuccawood/accounts';
import {ShutdownSequence} from '@yuccawood/lifecycle';
import {EntryServer} from '@yuccawood/requests';
import {FleetCapacity} from './fleet-capacity.js';
import {Node, type ProcessEnvironment} from './node.js';
import {stopAfterDrain} from './stop-after-drain.js';
import type {EntrySettings} from './types.js';

/** Entry process: serves callers behind the balancer. */
export class EntryProcess {
	readonly node: Node;
	readonly server: EntryServer;

	/** Resolves when a planned stop has completed. */
	readonly stopped: Promise<void>;
	readonly #admission: AccountAdmission;

	constructor(settings: EntrySettings, environment?: Partial<ProcessEnvironment>) {
		this.node = new Node({settings, role: 'entry', environment});
		const {
			log, metrics, clock, random, peerServer, peerClient, keyValue, gossip, configuration, lifecycle,
		} = this.node;
		const shared = {
			configuration, members: gossip, peerServer, peerClient, clock, random, metrics, selfId: settings.id,
		};
		const capacity = new FleetCapacity({members: gossip});
		this.#admission = new AccountAdmission({...shared, log: log.part('accounts'), fleetCapacity: capacity.ofPool});
		this.server = new EntryServer({
			...shared, log: log.part('entry'), listen: settings.entry.listen, admission: this.#admission, keyValue, drainGraceMs: settings.entry.leaveGraceMs,
		});
		this.stopped = stopAfterDrain({lifecycle, shutdown: this.#createShutdown(settings.stopLimitMs), stopsAfterEveryDrain: true});
	}

	/** Joins the fleet and serves callers as soon as a configuration is in force. */
	async start(): Promise<void> {
		const {node, server} = this;
		await node.start();
		this.#admission.start(node.signal);
		await Promise.race([node.configuration.ready, this.stopped]);
		if (node.lifecycle.phase !== 'starting') {
			return;
		}

		await server.start();
		node.lifecycle.markServing();
		node.log.info('Entry serves callers.', {address: server.address});
	}

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
					run: async () => this.server.drain({limitMs: stopLimitMs}),
					limitMs: stopLimitMs,
				},
				{
					name: 'end tasks',
					run: async () => {
						this.node.invariants.check('stop-cuts-nothing', this.server.inProgress === 0, {inProgress: this.server.inProgress});
						this.node.endTasks();
						await gossip.announceExit();
					},
				},
				{
					name: 'close',
					run: async () => {
						await this.server.close();
						await this.node.close();
					},
				},
			],
		});
	}
}
