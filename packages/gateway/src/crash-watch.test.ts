import {SILENT_LOG, SystemClock, delay} from '@yuccawood/common';
import {CRASHES_BEFORE_REJECTION} from '@yuccawood/dispatch';
import {expect} from 'chai';
import {CRASH_WINDOW_MS} from './constants.js';
import {CrashWatch, fingerprintOf} from './crash-watch.js';

describe('CrashWatch', () => {
	let shared: Map<string, number>;
	let watch: CrashWatch;

	const createWatch = (): CrashWatch => new CrashWatch({
		clock: new SystemClock(), log: SILENT_LOG, sharedCounts: () => shared,
		shareCount(fingerprint, crashes) {
			shared.set(fingerprint, crashes);
		},
	});

	/** An upstream dies while it runs these requests. */
	const die = async (upstream: string, ...fingerprints: readonly string[]): Promise<void> => {
		for (const [index, fingerprint] of fingerprints.entries()) {
			watch.recordBrokenConnection(upstream, fingerprint, fingerprints.length - index - 1);
		}

		await delay(CRASH_WINDOW_MS * 2.5);
	};

	beforeEach(() => {
		shared = new Map();
		watch = createWatch();
	});

	it('rejects a request that was at three deaths, but not the neighbours that changed', async () => {
		for (let i = 0; i < CRASHES_BEFORE_REJECTION; i++) {
			expect(watch.isRejected('poison')).to.equal(false);
			await die(`upstream-${i}`, 'poison', `neighbour-${i}`);
		}

		expect(watch.isRejected('poison')).to.equal(true);
		expect([0, 1, 2].some(i => watch.isRejected(`neighbour-${i}`))).to.equal(false);
	});

	it('knows the deaths that another entry has seen, so that each entry does not lose three upstreams', async () => {
		for (let i = 0; i < CRASHES_BEFORE_REJECTION; i++) {
			await die(`upstream-${i}`, 'poison');
		}

		expect(createWatch().isRejected('poison')).to.equal(true);
	});

	it('blames nobody for one broken connection among others', async () => {
		watch.recordBrokenConnection('upstream', 'a', 4);
		await delay(CRASH_WINDOW_MS * 1.5);
		expect(watch.crashesOf('a')).to.equal(0);
	});

	it('blames nobody when the connections to many upstreams break at once, as in a cut of the network', async () => {
		for (const upstream of ['one', 'two', 'three', 'four']) {
			watch.recordBrokenConnection(upstream, 'a', 0);
		}

		await delay(CRASH_WINDOW_MS * 1.5);
		expect(watch.crashesOf('a')).to.equal(0);
	});

	it('recognises the same request in a later attempt, and tells others apart', () => {
		const request = {
			method: 'POST', path: '/x', account: 'shop', body: new TextEncoder().encode('text'),
		};
		expect(fingerprintOf({...request})).to.equal(fingerprintOf(request));
		expect(fingerprintOf({...request, account: 'other'})).to.not.equal(fingerprintOf(request));
		expect(fingerprintOf({...request, body: undefined})).to.not.equal(fingerprintOf(request));
	});
});
