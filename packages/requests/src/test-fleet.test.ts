/** Test fixture: entries and agents in this process, with fake upstreams. */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {Admission} from '@yuccawood/accounts';
import {
	delay, Ok, PeerClient, PeerServer, Publisher, SILENT_LOG, MemoryMetrics, seededRandom,
} from '@yuccawood/common';
import type {ConfigurationInForce, ConfigurationSource} from '@yuccawood/configuration';
import type {MemberRecord, MemberTable, ServedVersion} from '@yuccawood/membership';
import type {KeyValueService} from '@yuccawood/interfaces';
import {from, type Stream} from 'most';
import type {AgentRequestsOptions} from './agent-requests-options.js';
import {AgentRequests} from './agent-requests.js';
import {EntryServer} from './entry-server.js';
import type {EntryServerOptions} from './entry-server-options.js';

export const MODEL_HASH = 'a'.repeat(64);
export const SERVED: ServedVersion = {
	name: 'kit', version: 'v1', manifest: MODEL_HASH, kind: 'model',
};

const CONFIGURATION_IN_FORCE: ConfigurationInForce = {
	revision: 1,
	configuration: {
		models: [],
		routes: [
			{
				name: 'chat', path: '/v1/chat/completions', target: {kind: 'model', models: ['kit']}, repeatableMethods: [], deadlineMs: 8000, maxBodyBytes: 10_000,
			},
			{
				name: 'orders', path: '/orders', target: {kind: 'service', service: 'orders'}, repeatableMethods: ['GET'], deadlineMs: 8000, maxBodyBytes: 10_000,
			},
		],
		accounts: [],
		vms: [],
		rollout: {balance: 0.5},
	},
};

const ADMISSION: Admission = {
	admit: async () => Ok({account: 'matara', priority: 5, release: () => undefined}),
};

/** Converts a publisher to a `most` stream. `most` recognizes observables by the value that `Symbol.observable` had when it was loaded. */
const streamOf = <Item>(publisher: Publisher<Item>): Stream<Item> => {
	const observable = {
		subscribe: (observer: {readonly next: (item: Item) => void}) => ({unsubscribe: publisher.subscribe(observer.next.bind(observer))}),
		[(Symbol as unknown as {readonly observable: symbol}).observable]: () => observable,
	};
	return from(observable as unknown as readonly Item[]);
};

/** A member table whose records the tests set. */
class TestMemberTable implements MemberTable {
	readonly records = new Map<string, MemberRecord>();
	readonly #publisher = new Publisher<MemberRecord>();

	get highestRevision(): number {
		return 1;
	}

	get changes(): Stream<MemberRecord> {
		return streamOf(this.#publisher);
	}

	get self(): MemberRecord {
		return {
			id: 'entry-1', role: 'entry', address: '127.0.0.1:1', region: 'western', failureDomain: 'western-a', incarnation: 1, sequence: 1, status: 'alive', revision: 1,
		};
	}

	get members(): readonly MemberRecord[] {
		return [...this.records.values()];
	}

	readonly find = (id: string): MemberRecord | undefined => this.records.get(id);
	readonly updateSelf = (): void => undefined;

	put(record: MemberRecord): void {
		this.records.set(record.id, record);
		this.#publisher.publish(record);
	}
}

export type FakeUpstream = {
	readonly address: string;

	/** Ids of the requests that the upstream received. */
	readonly receivedIds: string[];
	readonly server: http.Server;
};

type UpstreamHandler = (request: IncomingMessage, response: ServerResponse, body: string) => void | Promise<void>;

export const answerChat: UpstreamHandler = (_request, response, body) => {
	response.writeHead(200, {'content-type': 'application/json', 'x-model-version': MODEL_HASH});
	response.end(JSON.stringify({echo: body}));
};

/** Starts entries, agents and upstreams on free ports, and closes them in reverse order. */
export class TestFleet {
	readonly members = new TestMemberTable();
	readonly metrics = new MemoryMetrics();
	readonly entries: EntryServer[] = [];
	readonly agents = new Map<string, {readonly requests: AgentRequests; readonly server: PeerServer}>();
	keyValue: KeyValueService | undefined;
	readonly #closers: Array<() => Promise<void> | void> = [];

	/** Starts an HTTP server that passes each request with its whole body to the handler. */
	async upstream(handler: UpstreamHandler): Promise<FakeUpstream> {
		const receivedIds: string[] = [];
		const server = http.createServer((request, response) => {
			let body = '';
			request.on('data', (part: Uint8Array) => {
				body += new TextDecoder().decode(part);
			});
			request.on('end', () => {
				receivedIds.push(String(request.headers['x-request-id']));
				void handler(request, response, body);
			});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		this.#closers.push(() => {
			server.close();
			server.closeAllConnections();
		});
		return {address: `127.0.0.1:${(server.address() as AddressInfo).port}`, receivedIds, server};
	}

	/** Starts an agent and adds it to the member table. `addressOf` may replace the address at which entries reach it. */
	async agent(id: string, upstream: Pick<FakeUpstream, 'address'>, options: Partial<AgentRequestsOptions> & {
		readonly addressOf?: (address: string) => Promise<string>;
	} = {}): Promise<AgentRequests> {
		const kind = options.kind ?? 'engine';
		const incarnation = options.incarnation ?? 7;
		const server = new PeerServer();
		const requests = new AgentRequests({
			selfId: id, incarnation, upstreamAddress: upstream.address, kind, service: 'orders', capacity: 8, serving: () => [SERVED],
			peerServer: server, log: SILENT_LOG, metrics: this.metrics, engine: undefined, ...options,
		});
		const agentAddress = `127.0.0.1:${await server.listen('127.0.0.1', 0)}`;
		const address = await options.addressOf?.(agentAddress) ?? agentAddress;
		this.agents.set(id, {requests, server});
		this.#closers.push(async () => {
			await server.close();
			await requests.close();
		});
		this.members.put({
			id, role: 'agent', address, region: 'western', failureDomain: 'western-a', incarnation, sequence: 1, status: 'alive', revision: 1,
			upstream: {
				kind, service: kind === 'engine' ? 'kit' : 'orders', ready: true, capacity: options.capacity ?? 8, served: kind === 'engine' ? [SERVED] : [], held: [],
			},
		});
		return requests;
	}

	/** Starts an entry that uses the shared member table. */
	async entry(options: Partial<EntryServerOptions> = {}): Promise<EntryServer> {
		const peerServer = options.peerServer ?? new PeerServer();
		const peerClient = new PeerClient();
		const configuration: ConfigurationSource = {current: CONFIGURATION_IN_FORCE, changes: from<ConfigurationInForce>([])};
		const entry = new EntryServer({
			selfId: `entry-${this.entries.length + 1}`, listen: '127.0.0.1:0', members: this.members, configuration, admission: ADMISSION, keyValue: this.keyValue!,
			peerServer, peerClient, log: SILENT_LOG, metrics: this.metrics, random: seededRandom(1), drainGraceMs: 50, ...options,
		});
		await entry.start();
		if (!options.peerServer) {
			await peerServer.listen('127.0.0.1', 0);
		}

		this.entries.push(entry);
		this.#closers.push(async () => {
			await entry.close();
			await peerServer.close();
			await peerClient.close();
		});
		return entry;
	}

	async close(): Promise<void> {
		for (const close of this.#closers.reverse()) {
			await close();
		}
	}
}

export type Reply = {readonly status: number; readonly headers: Headers; readonly text: string; readonly json: () => Readonly<Record<string, unknown>>};

export const send = async (entry: EntryServer, path: string, init: RequestInit = {}): Promise<Reply> => {
	const response = await fetch(`http://${entry.address}${path}`, init);
	const text = await response.text();
	return {
		status: response.status, headers: response.headers, text, json: () => JSON.parse(text) as Readonly<Record<string, unknown>>,
	};
};

export const chatBody = (content: string, more: Readonly<Record<string, unknown>> = {}): string => JSON.stringify({model: 'kit', messages: [{role: 'user', content}], ...more});

export const chat = async (entry: EntryServer, content: string, more: Readonly<Record<string, unknown>> = {}): Promise<Reply> => send(entry, '/v1/chat/completions', {
	method: 'POST', body: chatBody(content, more), headers: {'content-type': 'application/json'},
});

/** Polls until a condition holds. The timeout of the test ends a wait without success. */
export const waitUntil = async (condition: () => boolean): Promise<void> => {
	while (!condition()) {
		await delay(5);
	}
};

export const textOf = async (pending: Promise<Reply>): Promise<string> => {
	const {text} = await pending;
	return text;
};

export const jsonOf = async (pending: Promise<Reply>): Promise<Readonly<Record<string, unknown>>> => {
	const {json} = await pending;
	return json();
};

export const statusOf = async (pending: Promise<Reply>): Promise<number> => {
	const {status} = await pending;
	return status;
};

/** Whether the request failed because its connection broke. */
export const isLost = async (pending: Promise<Reply>): Promise<boolean> => {
	try {
		await pending;
		return false;
	} catch {
		return true;
	}
};
