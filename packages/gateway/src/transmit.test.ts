import {PassThrough} from 'node:stream';
import {MemoryMetrics, SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {ExpiryWatch} from './expiry-watch.js';
import {recordOutcome} from './record-outcome.js';
import type {TransmitOptions} from './transmit-options.js';
import {transmit} from './transmit.js';
import type {AnswerSink} from './upstream-link.js';
import {UpstreamState} from './upstream-state.js';

const clock = new SystemClock();
const UPSTREAM = {
	key: 'i-0', id: 'i-0', service: 's', address: '127.0.0.1:1', failureDomain: 'z', slots: 1, state: 'ready', startedAt: 1, model: {name: 'm', version: 1},
} as const;

describe('transmit', () => {
	it('does not suspend an engine for a request that is cancelled before it gets a connection', async () => {
		const expiryWatch = new ExpiryWatch();
		const state = Object.assign(new UpstreamState(UPSTREAM), {
			link: {
				send: (_request: unknown, sink: AnswerSink) => ({
					abort(reason: Error) {
						sink.error(reason, false);
					},
					resume: () => undefined,
				}),
			},
		});
		const context = {
			clock, metrics: new MemoryMetrics(), expiryWatch, decisions: {unusual: () => undefined, ordinary: () => undefined},
		};
		const result = await transmit({
			context, state, request: {service: 's', requestId: 'a1'}, response: new PassThrough(), upstreamRequest: {}, endSignal: new AbortController().signal, control: {withdrawal: new AbortController().signal},
			endedBy: () => undefined, noDataTimeoutMs: () => undefined, canRetryElsewhere: () => false, msUntilCancel: () => 0, msSinceExpiry: () => undefined,
		} as unknown as TransmitOptions);
		expiryWatch.close();
		recordOutcome(context as unknown as TransmitOptions['context'], {
			requestId: 'a1', state: state as unknown as TransmitOptions['state'], result, hasExpectedVersion: false,
		});
		expect(state.health.suspendedUntil).to.be.at.most(clock.monotonic());
	});

	it('is no longer checked for the expiry of a version after it has failed', async () => {
		const expiryWatch = new ExpiryWatch();
		const state = Object.assign(new UpstreamState(UPSTREAM), {
			link: {
				send(_request: unknown, sink: AnswerSink) {
					setImmediate(() => {
						sink.error(new Error('reset'), true);
					});
					return {abort: () => undefined, resume: () => undefined};
				},
			},
		});
		let checks = 0;
		await transmit({
			context: {
				clock, metrics: new MemoryMetrics(), expiryWatch, decisions: {unusual: () => undefined, ordinary: () => undefined}, crashWatch: {recordBrokenAnswer: () => undefined},
			},
			state, request: {service: 's', requestId: 'a1'}, response: new PassThrough(), upstreamRequest: {}, endSignal: new AbortController().signal, control: {withdrawal: new AbortController().signal},
			endedBy: () => undefined, noDataTimeoutMs: () => undefined, canRetryElsewhere: () => false, msSinceExpiry: () => undefined,
			msUntilCancel() {
				checks++;
				return undefined;
			},
		} as unknown as TransmitOptions);
		const checksBefore = checks;
		expiryWatch.check();
		expiryWatch.close();
		expect(checks).to.equal(checksBefore);
	});
});
