import {RouteTable} from '@yuccawood/dispatch';
import type {EngineProfile, Route, TrafficConfiguration} from '@yuccawood/fleet';
import {expect} from 'chai';
import {StopLimit} from './stop-limit.js';

/** An answer of 100 tokens takes a full engine of these costs about 4 s. */
const engine: EngineProfile = {
	models: ['m'], slots: 8, stepMs: 20, stepMsPerRequest: 0, stepsPerPass: 1, prefillTokensPerSecond: 10_000, prefillTokensPerPass: 200, usualPromptTokens: 200, usualAnswerTokens: 20, layers: 1, chunks: 1, chunkBytes: 1,
};
const route = {
	name: 'ask', kind: 'stream', isResumable: true, attempts: 2,
} as unknown as Route;
const services: TrafficConfiguration['services'] = [{
	name: 'engines', maxConnections: 10, engine, origin: undefined,
}];
const table = new RouteTable({
	version: 1, routes: [], services, accounts: [], requiresKeys: false, limits: {
		headerBytes: 8000, bodyBytes: 8000, headerMs: 1000, idleMs: 1000,
	},
});

describe('StopLimit', () => {
	let now: number;
	let limit: StopLimit;

	const canAnswer = (answerTokens: number | undefined, {bodyReadAt = now, lastDeadlineAt = now + 20_000} = {}): boolean => limit.canAnswer({
		route, table, service: 'engines', promptTokens: 200, answerTokens, bodyReadAt, lastDeadlineAt,
	});

	beforeEach(() => {
		now = 0;
		limit = new StopLimit({clock: {monotonic: () => now}});
		for (; now < 10_000; now += 500) {
			limit.recordAnswer({route, arrivedAt: now - 300});
		}
	});

	it('sets no limit before the stop', () => {
		expect(canAnswer(1_000_000)).to.equal(true);
	});

	it('counts the longest answer that the published costs of the engine allow, however short others were lately', () => {
		limit.set({startedAt: now, answerBy: now + 2000});
		expect(canAnswer(100)).to.equal(false);
		expect(canAnswer(10)).to.equal(true);
	});

	it('goes by the answers lately where no number of tokens bounds the answer', () => {
		limit.set({startedAt: now, answerBy: now + 2000});
		expect(canAnswer(undefined)).to.equal(true);
	});

	// Guards against an answer that is cut because it takes longer than was to be expected.
	it('goes by the deadline for streams that are read after callers know of the stop', () => {
		limit.set({startedAt: now - 3001, answerBy: now + 2000});
		for (const answerTokens of [undefined, 10]) {
			expect(canAnswer(answerTokens)).to.equal(false);
			expect(canAnswer(answerTokens, {bodyReadAt: now - 1000})).to.equal(true);
			expect(canAnswer(answerTokens, {lastDeadlineAt: now + 1900})).to.equal(true);
		}
	});
});
