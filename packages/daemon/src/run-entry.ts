import {AccountAdmission} from '@yuccawood/accounts';
import {ShutdownSequence} from '@yuccawood/lifecycle';
import {EntryServer} from '@yuccawood/requests';
import {FleetCapacity} from './fleet-capacity.js';
import {Node} from './node.js';
import {stopAfterDrain} from './stop-after-drain.js';
import type {EntrySettings} from './types.js';

/** Runs an entry until it has stopped as planned. */
export const runEntry = async (settings: EntrySettings): Promise<void> => {
	const node = new Node({settings, role: 'entry'});
	const {
		log, metrics, clock, random, peerServer, peerClient, keyValue, gossip, configuration, lifecycle,
	} = node;
	const shared = {
		configuration, members: gossip, peerServer, peerClient, clock, random, metrics, selfId: settings.id,
	};
	const capacity = new FleetCapacity({members: gossip});
	const admission = new AccountAdmission({...shared, log: log.part('accounts'), fleetCapacity: capacity.current});
	const server = new EntryServer({
		...shared, log: log.part('entry'), listen: settings.entry.listen, admission, keyValue, drainGraceMs: settings.entry.leaveGraceMs,
	});
	const shutdown = new ShutdownSequence({
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
				run: async () => server.drain(),
				limitMs: settings.stopLimitMs,
			},
			{
				name: 'end tasks',
				async run() {
					node.endTasks();
					await gossip.depart();
				},
			},
			{
				name: 'close',
				async run() {
					await server.close();
					await node.close();
				},
			},
		],
	});
	const stopped = stopAfterDrain({lifecycle, shutdown, stopsAlways: true});

	await node.start();
	admission.start(node.signal);
	await Promise.race([configuration.ready, stopped]);
	if (lifecycle.phase === 'starting') {
		await server.start();
		lifecycle.markServing();
		log.info('Entry serves callers.', {address: server.address});
	}

	await stopped;
};
