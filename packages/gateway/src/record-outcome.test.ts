import {expect} from 'chai';
import {recordOutcome} from './record-outcome.js';
import type {SendResult} from './send-result.js';
import {UpstreamState} from './upstream-state.js';
import type {ConnectedUpstream} from './upstream-states.js';

const UPSTREAM = {
	key: 'i-0', id: 'i-0', service: 's', address: '127.0.0.1:1', failureDomain: 'z', slots: 1, state: 'ready', startedAt: 1, model: undefined,
} as const;

/** Monotonic milliseconds, long after a suspension that began at 0. */
const TRIAL_AT = 60_000;
const LIMITS = {
	isInSubset: true, maxConnections: 4, sharingEntries: 1,
};

describe('recordOutcome of the request that tries a suspended upstream again', () => {
	let state: UpstreamState;
	beforeEach(() => {
		state = new UpstreamState(UPSTREAM);
		state.recordFailure(0, true);
		state.beginRequest(TRIAL_AT);
	});

	const record = (result: SendResult): void => {
		const context = {clock: {monotonic: () => TRIAL_AT}, decisions: {unusual: () => undefined}};
		recordOutcome(context as unknown as Parameters<typeof recordOutcome>[0], {
			requestId: 'a1', state: state as ConnectedUpstream, result, hasExpectedVersion: false,
		});
	};

	const isSuspended = (): boolean => state.view(TRIAL_AT, LIMITS).isSuspended;

	it('allows no other trial before it', () => {
		expect(isSuspended()).to.equal(true);
	});

	// Guards against a sound upstream that gets no request for good.
	describe('allows another trial after it', () => {
		const results: Readonly<Record<string, SendResult>> = {
			'was refused': {
				kind: 'failed', failure: 'not-run', detail: 'status 503', mayHaveRun: false,
			},
			'was withdrawn': {
				kind: 'failed', failure: 'unknown', detail: 'withdrawn', mayHaveRun: true, isCancelled: true,
			},
			'ended with its caller': {
				kind: 'ended', by: 'caller', mayHaveRun: true, isSilence: false,
			},
		};
		for (const [name, result] of Object.entries(results)) {
			it(name, () => {
				record(result);
				expect(isSuspended()).to.equal(false);
			});
		}
	});

	it('suspends the upstream again if it fails', () => {
		record({
			kind: 'failed', failure: 'unknown', detail: 'reset', mayHaveRun: true,
		});
		expect(isSuspended()).to.equal(true);
	});
});
