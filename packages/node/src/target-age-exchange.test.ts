import {
	PeerClient, PeerServer, seededRandom, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {FleetView} from '@yuccawood/fleet';
import {expect} from 'chai';
import {TargetAgeExchange} from './target-age-exchange.js';

const PORT = 17_731;
const clock = new SystemClock();

describe('TargetAgeExchange', () => {
	let closers: Array<() => Promise<void>>;

	beforeEach(() => {
		closers = [];
	});

	afterEach(async () => {
		for (const close of closers) {
			await close();
		}
	});

	const start = async (host: string, addresses: readonly string[], {region = 'north', others = [], initialTargetAgeMs = 0, answerDelayMs = 0, listensLater = false}: {
		readonly region?: string;
		readonly others?: readonly string[];
		readonly initialTargetAgeMs?: number;

		/** Time that answers to peers need on their way. */
		readonly answerDelayMs?: number;

		/** Whether peers can't connect until `listen` is called. */
		readonly listensLater?: boolean;
	} = {}): Promise<FleetView & {readonly listen: () => Promise<void>}> => {
		const view = new FleetView({clock, log: SILENT_LOG, initialTargetAgeMs: () => initialTargetAgeMs});
		const peers = new PeerClient({connectTimeoutMs: 300});
		const peerServer = new PeerServer();
		new TargetAgeExchange({
			view, peers, peerServer, clock, addresses: () => [addresses, others], region, regions: ['north', 'south'], random: seededRandom(1), log: SILENT_LOG,
		}).start();
		if (answerDelayMs > 0) {
			peerServer.method('fleet.targetAges', async () => {
				const answer = {region, ages: view.targetAges};
				await clock.sleep(answerDelayMs);
				return answer;
			});
		}

		const listen = async (): Promise<void> => {
			await peerServer.listen(host, PORT);
			closers.push(async () => peerServer.close());
		};

		if (!listensLater) {
			await listen();
		}

		closers.push(async () => {
			view.close();
			await peers.close();
		});
		return Object.assign(view, {listen});
	};

	const setTarget = (view: FleetView, version: number, ageMs = 0, context: {readonly ageBoundMs?: number; readonly sinceUnreachableMs?: number} = {}): void => {
		view.apply({kind: 'target', model: 'm', version}, {
			revision: version, mayBeLeaseExpiry: false, ageMs, ...context,
		});
	};

	it('adopts the time at which a peer learned of a version if this process learned of it later', async () => {
		const early = await start('127.0.73.1', []);
		const late = await start('127.0.73.2', [`127.0.73.1:${PORT}`, `127.0.73.9:${PORT}`]);
		const setAt = clock.monotonic();
		setTarget(early, 2);
		await clock.sleep(400);
		setTarget(late, 2);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.within(setAt, setAt + 150);
		expect(early.targetOf('m')!.learnedAt).to.be.within(setAt, setAt + 50);
	});

	it('adopts that time although the answer of the peer was slow to arrive', async () => {
		const answerDelayMs = 600;
		const early = await start('127.0.73.1', [], {answerDelayMs});
		const late = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const setAt = clock.monotonic();
		setTarget(early, 2);
		await clock.sleep(1000);
		setTarget(late, 2);
		await clock.sleep(answerDelayMs + 150);
		expect(late.targetOf('m')!.learnedAt - setAt).to.be.below(150);
	});

	it('asks again when peers that learned of the version earlier did not answer, although the one that answered knows it', async () => {
		const early = await start('127.0.73.1', [], {listensLater: true});
		const neighbour = await start('127.0.73.3', []);
		const late = await start('127.0.73.2', [1, 3].map(index => `127.0.73.${index}:${PORT}`));
		const setAt = clock.monotonic();
		setTarget(early, 2);
		await clock.sleep(1000);
		setTarget(neighbour, 2);
		setTarget(late, 2);
		await clock.sleep(200);
		await early.listen();
		await clock.sleep(1000);
		expect(late.targetOf('m')!.learnedAt - setAt).to.be.below(150);
	});

	it('asks again when peers that learned of the version earlier did not answer, although others confirmed a later time', async () => {
		const early = await start('127.0.73.4', [], {region: 'south', listensLater: true});
		const neighbours = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [1, 2, 3, 4].map(index => `127.0.73.${index}:${PORT}`));
		const setAt = clock.monotonic();
		setTarget(early, 2);
		await clock.sleep(1000);
		for (const view of [late, ...neighbours]) {
			setTarget(view, 2, 1000);
		}

		await clock.sleep(200);
		await early.listen();
		await clock.sleep(1000);
		expect(late.targetOf('m')!.learnedAt - setAt).to.be.below(150);
	});

	it('reports no change for differences within the duration of a call between peers', async () => {
		const early = await start('127.0.73.1', []);
		const next = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const changes: string[] = [];
		setTarget(early, 2);
		await clock.sleep(10);
		next.onChange(change => {
			changes.push(change);
		});
		setTarget(next, 2);
		await clock.sleep(150);
		expect(changes).to.deep.equal(['targets']);
	});

	it('does not adopt an age that the peer only assumes', async () => {
		const cautious = await start('127.0.73.1', []);
		const other = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const setAt = clock.monotonic();
		setTarget(cautious, 2, 5000);
		setTarget(other, 2);
		await clock.sleep(150);
		expect(other.targetOf('m')!.learnedAt).to.be.at.least(setAt);
	});

	it('drops the cautious assumption if the store was unreachable until now for peers in all regions', async () => {
		const others = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		const returnedAt = clock.monotonic();
		for (const view of [late, ...others]) {
			setTarget(view, 2, 9000, {sinceUnreachableMs: 0});
		}

		expect(late.targetOf('m')!.learnedAt).to.be.below(returnedAt - 8000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.at.least(returnedAt);
	});

	it('keeps the cautious assumption if all peers learned of the version as late, although the store was reachable, as when their connections had gone silent', async () => {
		const others = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		const learnedAt = clock.monotonic();
		for (const view of [late, ...others]) {
			setTarget(view, 2, 3000, {sinceUnreachableMs: 60_000});
		}

		await clock.sleep(400);
		expect(late.targetOf('m')!.learnedAt).to.be.below(learnedAt - 2900);
	});

	it('counts from when one peer knew for certain that the version was not set yet', async () => {
		const follower = await start('127.0.73.1', []);
		const late = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const learnedAt = clock.monotonic();
		setTarget(follower, 2, 0, {ageBoundMs: 700});
		setTarget(late, 2, 9000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.within(learnedAt - 750, learnedAt - 650);
	});

	it('drops the cautious assumption in a deployment of few entries, some of which have just restarted, if the agents learned of the version just now', async () => {
		const [restartedEntry, ...agents] = await Promise.all([1, 2, 3, 4].map(async index => start(`127.0.73.${index}`, [], {region: index === 4 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [`127.0.73.1:${PORT}`], {others: [2, 3, 4].map(index => `127.0.73.${index}:${PORT}`)});
		const returnedAt = clock.monotonic();
		restartedEntry.apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLeaseExpiry: false});
		for (const view of [late, ...agents]) {
			setTarget(view, 2, 9000, {sinceUnreachableMs: 0});
		}

		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.at.least(returnedAt);
	});

	it('keeps the cautious assumption if no peer of another region answers', async () => {
		const neighbours = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [])));
		const late = await start('127.0.73.8', [1, 2, 3, 9].map(index => `127.0.73.${index}:${PORT}`));
		const learnedAt = clock.monotonic();
		for (const view of [late, ...neighbours]) {
			setTarget(view, 2, 3000, {sinceUnreachableMs: 0});
		}

		await clock.sleep(400);
		expect(late.targetOf('m')!.learnedAt).to.be.below(learnedAt - 2500);
	});

	it('keeps the cautious assumption if its peers have just started', async () => {
		const started = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [])));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		for (const view of started) {
			view.apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLeaseExpiry: false});
		}

		const learnedAt = clock.monotonic();
		setTarget(late, 2, 9000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.below(learnedAt - 8000);
	});

	describe('when a version was superseded before this process started', () => {
		/** Starts a process whose store holds only the newest version, as after a restart. */
		const restart = async (peers: readonly number[]): Promise<FleetView> => {
			const restarted = await start('127.0.73.8', peers.map(index => `127.0.73.${index}:${PORT}`));
			restarted.apply({kind: 'target', model: 'm', version: 3}, {revision: 3, mayBeLeaseExpiry: false});
			await clock.sleep(150);
			return restarted;
		};

		it('counts the bound of that version as its peers do', async () => {
			const peers = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
			const setAt = clock.monotonic();
			for (const view of peers) {
				setTarget(view, 2);
			}

			await clock.sleep(300);
			for (const view of peers) {
				setTarget(view, 3);
			}

			const restarted = await restart([1, 2, 3]);
			expect(restarted.targetsOf('m').map(({version}) => version)).to.deep.equal([2, 3]);
			expect(restarted.targetsOf('m')[0].learnedAt).to.be.within(setAt, setAt + 150);
			expect(restarted.targetOf('m')!.learnedAt).to.be.within(setAt + 300, setAt + 450);
		});

		it('does not take over what a peer assumes of it if another saw it being set', async () => {
			const peers = await Promise.all([1, 2].map(async index => start(`127.0.73.${index}`, [], {initialTargetAgeMs: index === 2 ? 5000 : 0})));
			const setAt = clock.monotonic();
			setTarget(peers[0], 2);
			peers[1].apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLeaseExpiry: false});
			const restarted = await restart([1, 2]);
			expect(restarted.targetsOf('m').map(({version}) => version)).to.deep.equal([2, 3]);
			expect(restarted.targetsOf('m')[0].learnedAt).to.be.at.least(setAt);
		});

		it('takes over what a peer assumes of it if none saw it being set', async () => {
			const peer = await start('127.0.73.1', [], {initialTargetAgeMs: 5000});
			const startedAt = clock.monotonic();
			peer.apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLeaseExpiry: false});
			const restarted = await restart([1]);
			expect(restarted.targetsOf('m')[0].learnedAt).to.be.within(startedAt - 5100, startedAt - 4850);
		});
	});

	describe('when the answer of a peer has another form', () => {
		const age = {
			model: 'm', version: 2, ageMs: 5, countedMs: 5, absentMs: 5, witnessedMs: 5,
		};
		const oddAnswers: readonly unknown[] = [
			null,
			7,
			'text',
			{},
			{region: 'south', ages: 7},
			{region: 'south', ages: [null]},
			{region: 7, ages: [age]},
			...[{version: 1e308}, {version: 1.5}, {ageMs: 'now'}, {ageMs: null}, {ageMs: 1e308}, {ageMs: -1e308}, {countedMs: 1e308}, {witnessedMs: 'now'}, {absentMs: 1e308}, {model: 7}]
				.map(fields => ({region: 'south', ages: [age, {...age, version: 1, ...fields}]})),
		];

		const startOdd = async (host: string, answer: unknown): Promise<void> => {
			const server = new PeerServer();
			server.method('fleet.targetAges', () => answer);
			await server.listen(host, PORT);
			closers.push(async () => server.close());
		};

		for (const first of [0, 8]) {
			it(`ignores it and asks the other peers, answers ${first} to ${first + 7}`, async () => {
				const early = await start('127.0.73.1', []);
				const answers = oddAnswers.slice(first, first + 8);
				for (const [index, answer] of answers.entries()) {
					await startOdd(`127.0.73.${index + 20}`, answer);
				}

				const view = await start('127.0.73.2', [`127.0.73.1:${PORT}`], {others: answers.map((_, index) => `127.0.73.${index + 20}:${PORT}`)});
				const setAt = clock.monotonic();
				setTarget(early, 2);
				await clock.sleep(400);
				setTarget(view, 2);
				await clock.sleep(1000);
				expect(view.targetsOf('m').map(({version}) => version)).to.deep.equal([2]);
				expect(view.targetOf('m')!.learnedAt).to.be.within(setAt, setAt + 150);
			});
		}
	});
});
