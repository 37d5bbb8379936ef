import {
	PeerClient, PeerServer, seededRandom, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {FleetView} from '@yuccawood/fleet';
import {expect} from 'chai';
import {TargetAgeExchange} from './target-ages.js';

const PORT = 17_731;
const clock = new SystemClock();

describe('TargetAges', () => {
	let closers: Array<() => Promise<void>>;

	beforeEach(() => {
		closers = [];
	});

	afterEach(async () => {
		for (const close of closers) {
			await close();
		}
	});

	const start = async (host: string, addresses: readonly string[], region = 'north'): Promise<FleetView> => {
		const view = new FleetView({clock, log: SILENT_LOG});
		const peers = new PeerClient({connectTimeoutMs: 300});
		const peerServer = new PeerServer();
		new TargetAgeExchange({
			view, peers, peerServer, addresses: () => addresses, region, regions: ['north', 'south'], random: seededRandom(1), log: SILENT_LOG,
		}).start();
		await peerServer.listen(host, PORT);
		closers.push(async () => {
			view.close();
			await Promise.all([peers.close(), peerServer.close()]);
		});
		return view;
	};

	const name = (view: FleetView, version: number, ageMs = 0): void => {
		view.apply({kind: 'target', model: 'm', version}, {revision: version, mayBeLapse: false, ageMs});
	};

	it('counts a version from when a peer learned of it, although the news came late without a sign', async () => {
		const early = await start('127.0.73.1', []);
		const late = await start('127.0.73.2', [`127.0.73.1:${PORT}`, `127.0.73.9:${PORT}`]);
		const namedAt = clock.monotonic();
		name(early, 2);
		await clock.sleep(400);
		name(late, 2);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.within(namedAt, namedAt + 150);
		expect(early.targetOf('m')!.learnedAt).to.be.within(namedAt, namedAt + 50);
	});

	it('does not tell of differences that the calls between peers explain', async () => {
		const early = await start('127.0.73.1', []);
		const next = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const changes: string[] = [];
		name(early, 2);
		await clock.sleep(10);
		next.onChange(change => {
			changes.push(change);
		});
		name(next, 2);
		await clock.sleep(150);
		expect(changes).to.deep.equal(['targets']);
	});

	it('does not take over from a peer a time that the peer only assumes', async () => {
		const cautious = await start('127.0.73.1', []);
		const other = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const namedAt = clock.monotonic();
		name(cautious, 2, 5000);
		name(other, 2);
		await clock.sleep(150);
		expect(other.targetOf('m')!.learnedAt).to.be.at.least(namedAt);
	});

	it('does not count an outage of the store for all against a version, so that engines have time to load it', async () => {
		const others = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], index === 3 ? 'south' : 'north')));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		const returnedAt = clock.monotonic();
		for (const view of [late, ...others]) {
			name(view, 2, 9000);
		}

		expect(late.targetOf('m')!.learnedAt).to.be.below(returnedAt - 8000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.at.least(returnedAt);
	});

	it('stays cautious while those that could know better do not answer, because the path to them is slow as well', async () => {
		const neighbours = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [])));
		const late = await start('127.0.73.8', [1, 2, 3, 9].map(index => `127.0.73.${index}:${PORT}`));
		const learnedAt = clock.monotonic();
		for (const view of [late, ...neighbours]) {
			name(view, 2, 3000);
		}

		await clock.sleep(400);
		expect(late.targetOf('m')!.learnedAt).to.be.below(learnedAt - 2500);
	});

	it('stays cautious while its peers have just started and cannot tell', async () => {
		const started = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [])));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		for (const view of started) {
			view.apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLapse: false});
		}

		const learnedAt = clock.monotonic();
		name(late, 2, 9000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.below(learnedAt - 8000);
	});
});
