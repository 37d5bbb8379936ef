import {MemoryMetrics, SILENT_LOG, SystemClock} from '@yuccawood/common';
import type {ProbeOutcome, UnconfirmedSends} from '@yuccawood/dispatch';
import {expect} from 'chai';
import {PathProbes} from './path-probes.js';
import {UpstreamState} from './upstream-state.js';
import type {ConnectedUpstream} from './upstream-states.js';

const SILENCE_MS = 100;
const clock = new SystemClock();

describe('PathProbes', () => {
	let probes: PathProbes;
	let state: ConnectedUpstream;
	let probeCount: number;
	let probe: () => Promise<ProbeOutcome>;
	let provenCount: number;

	beforeEach(() => {
		probeCount = 0;
		provenCount = 0;
		state = new UpstreamState({
			key: 'one', id: 'one', service: 's', address: '127.0.0.1:1', failureDomain: 'z', slots: 4, state: 'ready', startedAt: 1, model: undefined,
		}) as ConnectedUpstream;
		probes = new PathProbes({
			async probe() {
				probeCount++;
				return probe();
			},
			hasAgent: () => true, isListed: () => true, clock, log: SILENT_LOG, metrics: new MemoryMetrics(),
			onProven() {
				provenCount++;
			},
		});
	});

	afterEach(() => {
		probes.close();
	});

	const send = (): symbol => {
		const key = state.underWay.add(clock.monotonic(), 1000);
		probes.watch(state, SILENCE_MS);
		return key;
	};

	const underWay = (): UnconfirmedSends => state.underWay.at(clock.monotonic());

	describe('while responses come in time', () => {
		it('sends no probe', async () => {
			state.underWay.confirm(send(), {now: clock.monotonic(), silenceMs: SILENCE_MS});
			await clock.sleep(SILENCE_MS * 2);
			expect(probeCount).to.equal(0);
		});
	});

	describe('when an engine is slow behind a sound path', () => {
		it('takes what was written for arrived, so that the engine goes on getting requests', async () => {
			probe = async () => 'answered';
			send();
			await clock.sleep(SILENCE_MS * 2);
			expect(underWay().sends).to.equal(0);
			expect(underWay().windowBytes).to.be.greaterThan(0);
			expect(provenCount).to.be.greaterThan(0);
		});
	});

	describe('when a path stands still', () => {
		it('lets nothing be sent until a probe comes back in time', async () => {
			let isStanding = true;
			probe = async () => isStanding ? 'no-answer' : 'answered';
			send();
			await clock.sleep(SILENCE_MS * 2);
			expect(underWay().windowBytes).to.equal(0);
			isStanding = false;
			await clock.sleep(400);
			expect(underWay().windowBytes).to.be.greaterThan(0);
		});
	});

	describe('when nothing answers probes on the VM', () => {
		it('lets requests find out', async () => {
			probe = async () => 'unreachable';
			send();
			await clock.sleep(SILENCE_MS * 2);
			expect(underWay().windowBytes).to.be.greaterThan(0);
			expect(underWay().isProbed).to.equal(false);
		});
	});
});
