/** Whole sessions whose transcripts are compared with committed files. */
import {applyEdit, listHistory, TimeLimit} from '@yuccawood/configuration';
import {seededRandom} from '@yuccawood/common';
import {modelSection} from '../fleet/document.js';
import {recordCall} from './caller.js';
import {MODEL, type SessionFleet} from './session-fleet.js';

export type Session = {
	/** Name of the golden file. */
	readonly name: string;
	readonly run: (fleet: SessionFleet) => Promise<void>;
};

const chat = async (fleet: SessionFleet, entry: string, {content, stream = false, model = MODEL, tokens = 3}: {
	readonly content: string;
	readonly stream?: boolean;
	readonly model?: string;
	readonly tokens?: number;
}) => recordCall(fleet.transcript, 'caller', {
	address: fleet.entryAddress(entry),
	path: '/v1/chat/completions',
	body: {
		model, messages: [{role: 'user', content}], max_tokens: tokens, stream,
	},
});

const order = async (fleet: SessionFleet, entry: string, key: string) => recordCall(fleet.transcript, 'caller', {
	address: fleet.entryAddress(entry), path: '/orders/new', headers: {'idempotency-key': key}, body: {item: 'kit', key},
});

/** Writes how often a service ran each key, as its own log says. */
const recordRuns = (fleet: SessionFleet): void => {
	for (const [id, service] of fleet.services) {
		const keys = service.log.filter(({event}) => event === 'run').map(({idempotencyKey}) => String(idempotencyKey));
		fleet.transcript.add(id, `ran: ${keys.join(', ')}`);
	}
};

/** Writes the orders that each engine got. */
const recordOrders = (fleet: SessionFleet): void => {
	for (const [id, engine] of fleet.engines) {
		const orders = engine.log.filter(({event}) => ['load', 'loaded', 'activate', 'activated', 'unload', 'unloaded', 'stale'].includes(event));
		for (const {event, manifest = ''} of orders) {
			fleet.transcript.add(id, `engine: ${event} ${String(manifest)}`.trim());
		}
	}
};

const edit = async (fleet: SessionFleet, {editId, author, team, section, text, baseRevision}: {
	readonly editId: string; readonly author: string; readonly team: string; readonly section: string; readonly text: string; readonly baseRevision: number;
}): Promise<void> => {
	const result = await fleet.settle(applyEdit({
		keyValue: fleet.keyValue, clock: fleet.clock, random: seededRandom(editId),
		edit: {
			editId, author, team, section, text, baseRevision,
		},
	}));
	const outcome = result.ok ? `accepted as revision ${result.val.revision}` : `${result.val.kind}: ${result.val.message}`;
	fleet.transcript.add('operators', `${author} (${team}) edits ${section} from revision ${baseRevision}: ${outcome}`);
};

const serves = (fleet: SessionFleet, version: 'v1' | 'v2'): boolean => [...fleet.entries.values()].every(({node}) => {
	const engines = node.gossip.members.filter(({upstream}) => upstream?.kind === 'engine');
	return engines.every(({upstream}) => upstream?.served.some(({manifest}) => manifest === fleet.versions[version].hash));
});

/** True if every engine runs and has activated a version since its last crash. */
const hasLoaded = (fleet: SessionFleet): boolean => [...fleet.engines.values()].every(({log}) => {
	const lastOf = (event: string): number => log.findLastIndex(entry => entry.event === event);
	return lastOf('activate') > lastOf('crashed');
});

/** Held time after which agents and entries have heard that a crashed engine is back, in milliseconds. */
const AGENT_RECOVERY_MS = 5000;

const requestPath: Session = {
	name: 'request-path',
	async run(fleet) {
		await fleet.start({engines: 1, entries: 1});
		await chat(fleet, 'entry-1', {content: 'How do I angle the reflector?'});
		await chat(fleet, 'entry-1', {content: 'Why is it still hard?', stream: true});
		await order(fleet, 'entry-1', 'order-1');
		await order(fleet, 'entry-1', 'order-1');
		await chat(fleet, 'entry-1', {content: 'Hello', model: 'no-such-model'});
		await recordCall(fleet.transcript, 'caller', {address: fleet.entryAddress('entry-1'), path: '/v1/chat/completions', body: '{"model":'});
		await recordCall(fleet.transcript, 'caller', {address: fleet.entryAddress('entry-1'), method: 'GET', path: '/no-such-route'});
		recordRuns(fleet);
	},
};

const rollout: Session = {
	name: 'rollout',
	async run(fleet) {
		await fleet.start({services: 0, entries: 1});
		await chat(fleet, 'entry-1', {content: 'Before'});
		await edit(fleet, {
			editId: 'v2', author: 'ann', team: 'models', section: `model.${MODEL}`, text: modelSection({version: 'v2', manifest: fleet.versions.v2.hash}), baseRevision: 1,
		});
		await fleet.advanceUntil(() => serves(fleet, 'v2'));
		await chat(fleet, 'entry-1', {content: 'After'});
		recordOrders(fleet);
		fleet.transcript.add('origin', `bytes served: ${fleet.origin.bytesServed}`);
	},
};

const operatorRace: Session = {
	name: 'operator-race',
	async run(fleet) {
		await fleet.start({engines: 1, services: 0, entries: 1});
		const route = 'path = /orders\nkind = service\nservice = orders\nrepeatable_methods = GET\n';
		const shared = {section: 'route.orders', team: 'routing', baseRevision: 1};
		await edit(fleet, {
			...shared, editId: 'a', author: 'ann', text: `${route}deadline_ms = 5000\n`,
		});
		await edit(fleet, {
			...shared, editId: 'b', author: 'bob', text: `${route}deadline_ms = 9000\n`,
		});
		await edit(fleet, {
			editId: 'c', author: 'cai', team: 'models', section: 'rollout', text: 'balance = 0.9\n', baseRevision: 1,
		});
		await edit(fleet, {
			editId: 'd', author: 'dee', team: 'models', section: 'route.orders', text: route, baseRevision: 2,
		});
		fleet.keyValueStandIn.setFaults({loseAnswers: 1});
		await edit(fleet, {
			editId: 'e', author: 'eve', team: 'routing', section: 'route.orders', text: `${route}deadline_ms = 7000\n`, baseRevision: 2,
		});
		await fleet.advanceUntil(() => [...fleet.entries.values()].every(({node}) => node.configuration.current?.revision === 4));
		const limit = new TimeLimit({clock: fleet.clock, random: seededRandom('history'), milliseconds: 5000});
		const history = await listHistory({keyValue: fleet.keyValue, limit});
		const {edits} = history.unwrap();
		for (const {revision, author, section, baseRevision} of edits) {
			fleet.transcript.add('operators', `history: revision ${revision} by ${author}, ${section} from revision ${baseRevision}`);
		}
	},
};

const plannedStop: Session = {
	name: 'planned-stop',
	async run(fleet) {
		await fleet.start({engines: 2, services: 0, entries: 1});
		const stream = chat(fleet, 'entry-1', {content: 'A long answer', stream: true, tokens: 12});
		await fleet.clock.advance(10, 10);
		const busy = [...fleet.agents].find(([, {requests}]) => requests.inProgress > 0);
		const agent = busy?.[1] ?? [...fleet.agents.values()][0];
		agent.node.leave('signal');
		await fleet.settle(stream);
		await fleet.advanceUntil(() => agent.node.lifecycle.phase === 'stopped');
		await chat(fleet, 'entry-1', {content: 'Served by the other agent'});
	},
};

const keyValueOutage: Session = {
	name: 'key-value-outage',
	async run(fleet) {
		await fleet.start({engines: 1, entries: 1});
		fleet.keyValueStandIn.setFaults({outage: 'refused'});
		await chat(fleet, 'entry-1', {content: 'Still answered'});
		await fleet.settle(order(fleet, 'entry-1', 'order-1'));
		fleet.keyValueStandIn.setFaults({outage: 'none'});
		await order(fleet, 'entry-1', 'order-1');
		recordRuns(fleet);
	},
};

const poisonRequest: Session = {
	name: 'poison-request',
	async run(fleet) {
		await fleet.start({engines: 2, services: 0, entries: 2});
		for (let send = 0; send < 6; send++) {
			await fleet.settle(chat(fleet, send % 2 === 0 ? 'entry-1' : 'entry-2', {content: '[crash the engine] please'}));
			await fleet.advanceUntil(() => hasLoaded(fleet));
			await fleet.clock.advance(AGENT_RECOVERY_MS);
			await fleet.advanceUntil(() => serves(fleet, 'v1'));
		}

		await chat(fleet, 'entry-2', {content: 'A healthy request'});
		const crashes = [...fleet.engines.values()].flatMap(engine => engine.log).filter(({event}) => event === 'crashed').length;
		fleet.transcript.add('engines', `crashes in all: ${crashes}`);
	},
};

export const SESSIONS: readonly Session[] = [requestPath, rollout, operatorRace, plannedStop, keyValueOutage, poisonRequest];
