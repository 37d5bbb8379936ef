/**
One replica of the baseline: an agent's weight manager that knows no other member, so that it reads everything from the origin.

Run as a process by the benchmark only. Its first line of output is `{"address": "IP:port"}`; the method `baseline.start` answers when the version is active.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {
	MemoryMetrics, Ok, PeerServer, Publisher,
} from '@yuccawood/common';
import type {ConfigurationInForce} from '@yuccawood/configuration';
import type {MemberRecord, MemberTable} from '@yuccawood/membership';
import {HttpModelEngine, HttpWeightOrigin} from '@yuccawood/interfaces';
import {EngineStandIn} from '@yuccawood/stand-ins';
import {WeightManager} from '@yuccawood/weights';
import {MODEL} from './weights-text.js';

const {values: {id = 'replica', origin = '', manifest = '', link = '0'}} = parseArgs({
	options: {
		id: {type: 'string'}, origin: {type: 'string'}, manifest: {type: 'string'}, link: {type: 'string'},
	},
});

const aloneTable = (): MemberTable => {
	const changed = new Publisher<MemberRecord>();
	let self: MemberRecord = {
		id, role: 'agent', address: '127.0.0.1:0', region: 'western', failureDomain: 'western-a', incarnation: 1, sequence: 1, status: 'alive', revision: 1,
	};
	return {
		get self() {
			return self;
		},
		get members() {
			return [self];
		},
		find: () => undefined,
		changes: changed.changes,
		updateSelf(patch) {
			self = {...self, ...patch};
		},
		highestRevision: 1,
	};
};

const inForce: ConfigurationInForce = {
	revision: 1, configuration: {
		models: [{
			name: MODEL, kind: 'model', version: 'v2', manifest, maxSwitchingShare: 1,
		}], routes: [], accounts: [], vms: [], rollout: {balance: 0.5},
	},
};

const engine = new EngineStandIn();
const engineAddress = await engine.listen();
const server = new PeerServer();
const manager = new WeightManager({
	selfId: id, service: MODEL, members: aloneTable(), configuration: {current: inForce, changes: new Publisher<ConfigurationInForce>().changes},
	origin: new HttpWeightOrigin({address: origin}), engine: new HttpModelEngine({address: engineAddress}), fencing: () => Ok(1),
	peerServer: server, settings: {storeRegion: () => 'western', linkBytesPerSecond: Number(link)}, metrics: new MemoryMetrics(),
});

/** Answers the time at which the engine activated the version, in milliseconds since the epoch. */
server.method('baseline.start', async () => {
	const active = new Promise<void>(resolve => {
		void manager.changes.observe(serving => {
			if (serving.length > 0) {
				resolve();
			}
		});
	});
	void manager.start(new AbortController().signal);
	await active;
	return engine.log.find(({event}) => event === 'activate')?.at;
});
const port = await server.listen('127.0.0.1', 0);
process.stdout.write(`${JSON.stringify({address: `127.0.0.1:${port}`})}\n`);
