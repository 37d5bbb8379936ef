import {SILENT_LOG, SystemClock, delay} from '@yuccawood/common';
import {CrashReview, MIN_CRASHES_UNCONFIRMED, NO_CRASH_PEERS} from '@yuccawood/crashes';
import {expect} from 'chai';
import {CRASH_WINDOW_MS} from './constants.js';
import {
	CrashWatch, fingerprintOf, suspectsOf,
} from './crash-watch.js';
import type {UpstreamSigns} from './upstream-signs.js';
import {UpstreamState} from './upstream-state.js';

const clock = new SystemClock();

describe('CrashWatch', () => {
	let shared: Map<string, number>;
	let review: CrashReview;
	let watch: CrashWatch;
	let signs: UpstreamSigns | undefined;

	const createReview = (): CrashReview => new CrashReview({
		clock, log: SILENT_LOG, peers: NO_CRASH_PEERS, mayTry: () => false, lastDataAt: () => undefined,
		shareCrashCount(id, crashes) {
			shared.set(id, crashes);
		},
	});

	const breakAnswer = (upstream: string, id: string, isCertain = true): void => {
		watch.recordBrokenAnswer(upstream, {suspects: [{id, depth: 1}], isCertain});
	};

	/** Simulates the crash of an upstream that runs these requests. */
	const crash = async (upstream: string, ...ids: readonly string[]): Promise<void> => {
		for (const id of ids) {
			breakAnswer(upstream, id);
		}

		await delay(CRASH_WINDOW_MS * 2.5);
	};

	beforeEach(() => {
		shared = new Map();
		signs = undefined;
		review = createReview();
		watch = new CrashWatch({
			clock, log: SILENT_LOG, review, signsOf: () => signs,
		});
	});

	describe('rejects a request', () => {
		it('that was present at several crashes, but not the other requests present at only one', async () => {
			for (let i = 0; i < MIN_CRASHES_UNCONFIRMED; i++) {
				expect(review.blocklist.isBlocked('poison')).to.equal(false);
				await crash(`upstream-${i}`, 'poison', `neighbour-${i}`);
			}

			expect(review.blocklist.ids).to.deep.equal(['poison']);
		});

		it('whose crashes other entries have shared', async () => {
			for (let i = 0; i < MIN_CRASHES_UNCONFIRMED; i++) {
				await crash(`upstream-${i}`, 'poison');
			}

			const other = createReview();
			other.applyShared(shared);
			expect(other.blocklist.isBlocked('poison')).to.equal(true);
		});
	});

	describe('counts no crash', () => {
		let crashes: string[];
		beforeEach(() => {
			crashes = [];
			watch = new CrashWatch({
				clock, log: SILENT_LOG, signsOf: () => signs,
				review: {
					recordCrash(upstream) {
						crashes.push(upstream);
					},
				},
			});
		});

		it('if a request that was sent before is still at the upstream, as when one of several connections is reset', async () => {
			signs = {lastDataAt: 0, oldestSendAt: clock.monotonic() - 100};
			await crash('upstream', 'a');
			expect(crashes).to.deep.equal([]);
		});

		it('if data came from the upstream since', async () => {
			signs = {lastDataAt: clock.monotonic() + 20, oldestSendAt: undefined};
			await crash('upstream', 'a');
			expect(crashes).to.deep.equal([]);
		});

		it('if an answer without framing ended, which may be complete', async () => {
			breakAnswer('upstream', 'a', false);
			await delay(CRASH_WINDOW_MS * 1.5);
			expect(crashes).to.deep.equal([]);
		});

		it('for requests that were sent only after the break, which find no process', async () => {
			signs = {lastDataAt: 0, oldestSendAt: clock.monotonic() + 50};
			await crash('upstream', 'a');
			expect(crashes).to.deep.equal(['upstream']);
		});
	});

	it('blocks nothing if connections to many upstreams break at once, as when the network fails', async () => {
		for (const upstream of ['one', 'two', 'three', 'four', 'five', 'six']) {
			breakAnswer(upstream, 'a');
		}

		await delay(CRASH_WINDOW_MS * 1.5);
		expect(review.blocklist.ids).to.deep.equal([]);
	});

	describe('an upstream that this entry has received no data from', () => {
		it('has no sign of life, so that the testimony to another entry has no age that JSON cannot hold', () => {
			const state = new UpstreamState({
				key: 'u', id: 'u', service: 's', address: '127.0.0.1:1', failureDomain: 'z', slots: 1, state: 'ready', startedAt: 1, model: undefined,
			});
			const {signsOfLife} = new CrashReview({
				clock, log: SILENT_LOG, peers: NO_CRASH_PEERS, mayTry: () => false, lastDataAt: () => state.signs.lastDataAt, shareCrashCount: () => undefined,
			}).testify({suspects: [], upstreams: ['u']});
			expect(signsOfLife).to.deep.equal([]);
		});
	});

	describe('a fingerprint', () => {
		const request = {
			method: 'POST', path: '/x', account: 'shop', body: new TextEncoder().encode('text'), sharedParts: ['a', 'b'],
		};

		it('is the same for a later attempt, and another one for other requests', () => {
			expect(fingerprintOf({...request})).to.equal(fingerprintOf(request));
			expect(fingerprintOf({...request, account: 'other'})).to.not.equal(fingerprintOf(request));
			expect(fingerprintOf({...request, body: undefined})).to.not.equal(fingerprintOf(request));
		});

		it('is the narrowest suspect, after the shared parts of the prompt in their order', () => {
			const ids = suspectsOf(request).toSorted((a, b) => a.depth - b.depth).map(({id}) => id);
			expect(ids).to.deep.equal(['part:a', 'part:b', `request:${fingerprintOf(request)}`]);
		});
	});
});
