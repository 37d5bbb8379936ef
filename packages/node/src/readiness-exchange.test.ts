import {
	PeerServer, PeerClient, seededRandom, SILENT_LOG,
} from '@yuccawood/common';
import {expect} from 'chai';
import type {EntryState} from './handover.js';
import {ReadinessExchange} from './readiness-exchange.js';

const OTHERS = 34;

describe('ReadinessExchange', () => {
	let calls: number;
	let servers: PeerServer[];
	let addresses: string[];

	/** Lets all others answer with the state. */
	const listen = async (state: EntryState): Promise<ReadinessExchange> => {
		await Promise.all(Array.from({length: OTHERS}, async () => {
			const server = new PeerServer();
			servers.push(server);
			server.method('entries.state', () => {
				calls++;
				return state;
			});
			addresses.push(`127.0.0.1:${await server.listen('127.0.0.1', 0)}`);
		}));
		return new ReadinessExchange({
			peers: new PeerClient(), peerServer: new PeerServer(), random: seededRandom(1), log: SILENT_LOG, addresses: () => addresses, isSelfListed: () => true,
		});
	};

	beforeEach(() => {
		calls = 0;
		servers = [];
		addresses = [];
	});

	afterEach(async () => {
		await Promise.all(servers.map(async server => server.close()));
	});

	it('asks a few of many entries when one of them is enough, so that a stop of all causes no storm of connections', async () => {
		const exchange = await listen({kind: 'stopping', forMs: 0});
		expect(await exchange.ask(({kind}) => kind === 'stopping')).to.have.length(1);
		expect(calls).to.be.at.most(OTHERS / 4);
	});

	it('asks all when none is enough', async () => {
		const exchange = await listen({kind: 'starting'});
		expect(await exchange.ask(({kind}) => kind === 'ready')).to.have.length(OTHERS);
		expect(calls).to.equal(OTHERS);
	});
});
