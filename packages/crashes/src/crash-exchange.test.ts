import {
	PeerClient, PeerServer, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {expect} from 'chai';
import {MIN_CRASHES, PEER_TIMEOUT_MS} from './constants.js';
import {CrashExchange} from './crash-exchange.js';
import {CrashReview} from './crash-review.js';

const PORT = 17_741;
const clock = new SystemClock();
const suspects = [{id: 'part:deadly', depth: 1}];

describe('CrashExchange', () => {
	let closers: Array<() => Promise<void>>;

	beforeEach(() => {
		closers = [];
	});

	afterEach(async () => {
		for (const close of closers) {
			await close();
		}
	});

	const start = async (host: string, others: readonly string[]): Promise<CrashReview> => {
		const peers = new PeerClient({connectTimeoutMs: 300});
		const peerServer = new PeerServer();
		const exchange = new CrashExchange({
			peers, peerServer, log: SILENT_LOG, addresses: () => others.map(other => `${other}:${PORT}`),
		});
		const review = new CrashReview({
			clock, log: SILENT_LOG, peers: exchange, shareCrashCount: () => undefined, mayTry: () => false, lastDataAt: () => undefined,
		});
		exchange.start(review);
		await peerServer.listen(host, PORT);
		closers.push(async () => {
			await peers.close();
			await peerServer.close();
		});
		return review;
	};

	it('tells of a crash again if the connection carried no answer, since it may have gone silent', async () => {
		const ages: number[] = [];
		const other = new PeerServer();
		other.method('crashes.report', async ({ageMs}: {readonly ageMs: number}) => {
			ages.push(ageMs);
			await (ages.length === 1 ? clock.sleep(PEER_TIMEOUT_MS * 2) : undefined);
			return {};
		});
		await other.listen('127.0.74.3', PORT);
		closers.push(async () => other.close());
		const review = await start('127.0.74.1', ['127.0.74.3']);
		review.recordCrash('u', suspects, clock.monotonic());
		await clock.sleep(PEER_TIMEOUT_MS * 2);
		expect(ages.length).to.equal(2);
		expect(ages[1] - ages[0]).to.be.within(PEER_TIMEOUT_MS - 50, PEER_TIMEOUT_MS + 300);
	});

	it('adds up what entries see, although one of them does not answer, and ends a block at all of them', async () => {
		const reviews = [
			await start('127.0.74.1', ['127.0.74.2', '127.0.74.9']),
			await start('127.0.74.2', ['127.0.74.1', '127.0.74.9']),
		];
		for (let i = 0; i < MIN_CRASHES; i++) {
			reviews[i % 2].recordCrash(`u-${i}`, suspects, clock.monotonic());
			await clock.sleep(350);
		}

		await clock.sleep(600);
		expect(reviews.map(({blocklist}) => blocklist.ids)).to.deep.equal([['part:deadly'], ['part:deadly']]);
		reviews[0].recordSuccess(suspects);
		await clock.sleep(200);
		expect(reviews.map(({blocklist}) => blocklist.ids)).to.deep.equal([[], []]);
	});

	it('learns of an answer that went on well at another entry before it blocks', async () => {
		const [first, second] = [await start('127.0.74.1', ['127.0.74.2']), await start('127.0.74.2', ['127.0.74.1'])];
		for (let i = 0; i < MIN_CRASHES; i++) {
			await clock.sleep(350);
			first.recordCrash(`u-${i}`, suspects, clock.monotonic());
			second.recordSuccess(suspects);
		}

		await clock.sleep(600);
		expect([first, second].map(({blocklist}) => blocklist.ids)).to.deep.equal([[], []]);
	});

	describe('with an entry whose address is that of another process', () => {
		const oddAnswers: readonly unknown[] = [
			null,
			7,
			'text',
			[],
			{},
			{successes: 7, signsOfLife: []},
			{successes: [null], signsOfLife: [7]},
			{successes: [{id: 'part:deadly', ageMs: 'now'}], signsOfLife: []},
			{successes: [{id: 'part:deadly', ageMs: -1e308}], signsOfLife: []},
			{successes: [], signsOfLife: [{upstream: 'u-0', ageMs: -1e308}]},
		];

		const startOdd = async (host: string, answer: unknown): Promise<void> => {
			const server = new PeerServer();
			server.method('crashes.enquire', () => answer);
			await server.listen(host, PORT);
			closers.push(async () => server.close());
		};

		for (const answer of oddAnswers) {
			it(`blocks what the others confirm when it answers ${JSON.stringify(answer)}`, async () => {
				await startOdd('127.0.74.8', answer);
				const review = await start('127.0.74.1', ['127.0.74.2', '127.0.74.8']);
				await start('127.0.74.2', []);
				for (let i = 0; i < MIN_CRASHES; i++) {
					review.recordCrash(`u-${i}`, suspects, clock.monotonic() - ((MIN_CRASHES - i) * 400));
				}

				await clock.sleep(300);
				expect(review.blocklist.ids).to.deep.equal(['part:deadly']);
			});
		}

		it('refuses odd reports and questions, and goes on', async () => {
			const review = await start('127.0.74.1', []);
			const peers = new PeerClient();
			closers.push(async () => peers.close());
			const call = async (method: string, parameters: unknown): Promise<boolean> => {
				try {
					await peers.call(`127.0.74.1:${PORT}`, method, parameters);
					return true;
				} catch {
					return false;
				}
			};

			for (const parameters of [undefined, 7, [], {}, {upstream: 7}, {upstream: 'u', ageMs: 1e308, suspects: [7]}, {upstream: 'u', ageMs: -1, suspects}, {suspects: 7, upstreams: []}, {id: 7}]) {
				for (const method of ['crashes.report', 'crashes.success', 'crashes.enquire']) {
					expect(await call(method, parameters), `${method} ${JSON.stringify(parameters)}`).to.equal(false);
				}
			}

			expect(await call('crashes.report', {upstream: 'u', ageMs: 5, suspects})).to.equal(true);
			expect(review.isSuspected(suspects)).to.equal(true);
		});
	});
});
