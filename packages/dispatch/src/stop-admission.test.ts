import type {EngineProfile} from '@yuccawood/fleet';
import {expect} from 'chai';
import {AnswerTimes, type ObservedAnswers} from './answer-times.js';
import {ANSWER_TIMES_PERIOD_MS} from './constants.js';
import {longestAnswerMs} from './longest-answer.js';
import {isAnswerable, type LateRequest} from './stop-admission.js';

const observed = (count: number, longestMs: number, hasPartial = false): ObservedAnswers => ({count, longestMs, hasPartial});

/** A request of a stopping entry that has 2 s left; its caller waits for 6 s. */
const request = (changes: Partial<LateRequest> = {}): LateRequest => ({
	now: 1000, answerBy: 3000, lastDeadlineAt: 7000, isRepeatable: true, isStream: true, sentAfterMs: 500, observed: observed(50, 1200), ...changes,
});

describe('isAnswerable', () => {
	describe('for a request whose deadline is later than the end of the entry', () => {
		it('accepts it if the longest answers of its route end in time', () => {
			expect(isAnswerable(request())).to.equal(true);
		});

		it('refuses it if they do not', () => {
			expect(isAnswerable(request({observed: observed(50, 1700)}))).to.equal(false);
		});

		it('leaves more time to a request that may run once', () => {
			expect(isAnswerable(request({isRepeatable: false}))).to.equal(false);
			expect(isAnswerable(request({isRepeatable: false, observed: observed(50, 900)}))).to.equal(true);
		});

		it('refuses it while few answers of its route are known', () => {
			expect(isAnswerable(request({observed: observed(2, 10)}))).to.equal(false);
		});
	});

	describe('for a request whose deadline is earlier', () => {
		it('accepts it whatever is known of its route', () => {
			expect(isAnswerable(request({lastDeadlineAt: 2900, observed: observed(0, 0), isRepeatable: false}))).to.equal(true);
			expect(isAnswerable(request({lastDeadlineAt: 2900, observed: observed(50, 5000)}))).to.equal(true);
		});
	});

	// Guards against an answer that is cut because it takes longer than all others did lately.
	describe('for a stream that arrives after the load balancer has removed the entry', () => {
		it('goes by how long others took until 2.9 s after the beginning of the stop', () => {
			expect(isAnswerable(request({sentAfterMs: 2900}))).to.equal(true);
			expect(isAnswerable(request({sentAfterMs: 2901}))).to.equal(false);
		});

		it('refuses it unless its deadline is earlier, however short the answers of its route were lately', () => {
			for (const isRepeatable of [true, false]) {
				expect(isAnswerable(request({sentAfterMs: 3001, isRepeatable, observed: observed(500, 20)}))).to.equal(false);
				expect(isAnswerable(request({sentAfterMs: 3001, isRepeatable, lastDeadlineAt: 2900}))).to.equal(true);
			}
		});

		it('goes by how long others took where a failure can replace the answer', () => {
			expect(isAnswerable(request({sentAfterMs: 3001, isStream: false, observed: observed(500, 900)}))).to.equal(true);
		});

		it('refuses it as a stream where a part of an answer was passed on before its end', () => {
			const late = request({sentAfterMs: 3001, isStream: false, observed: observed(500, 20, true)});
			expect(isAnswerable(late)).to.equal(false);
			expect(isAnswerable({...late, lastDeadlineAt: 2900})).to.equal(true);
			expect(isAnswerable({...late, sentAfterMs: 500})).to.equal(true);
		});

		// Its worker may preempt it in its middle.
		it('refuses it however little time the published costs of its engine allow, unless its deadline is earlier', () => {
			expect(isAnswerable(request({sentAfterMs: 3001, boundMs: 20}))).to.equal(false);
			expect(isAnswerable(request({sentAfterMs: 3001, boundMs: 900, lastDeadlineAt: 2900}))).to.equal(true);
		});
	});

	it('refuses everything from the time on at which the last answers must have ended', () => {
		expect(isAnswerable(request({now: 3000, lastDeadlineAt: 3000}))).to.equal(false);
	});
});

describe('isAnswerable with the published costs of an engine', () => {
	it('refuses a request whose longest answer ends too late, however short the answers of its route were lately', () => {
		expect(isAnswerable(request({boundMs: 1900, observed: observed(500, 300)}))).to.equal(false);
	});

	it('accepts one whose longest answer ends in time, also while no answer of its route is known', () => {
		expect(isAnswerable(request({boundMs: 1200, observed: observed(0, 0)}))).to.equal(true);
	});

	it('refuses a request if answers of its route took longer than the costs allow', () => {
		expect(isAnswerable(request({boundMs: 1200, observed: observed(1, 1900)}))).to.equal(false);
	});
});

describe('longestAnswerMs', () => {
	/** As published for an engine of 16 slots. */
	const engine: EngineProfile = {
		models: ['m'], slots: 16, stepMs: 7.4, stepMsPerRequest: 0.0387, stepsPerPass: 6, prefillTokensPerSecond: 31_900, prefillTokensPerPass: 2048, usualPromptTokens: 948, usualAnswerTokens: 112,
		layers: 16, chunks: 48, chunkBytes: 49_152,
	};

	it('covers an answer whose engine reads a full part of prompts between all passes', () => {
		// 51 passes of six steps of 8 ms and of 2048 tokens at 31.9 a millisecond.
		expect(longestAnswerMs(engine, {promptTokens: 647, answerTokens: 306})).to.be.at.least(51 * ((6 * 8) + (2048 / 31.9)));
	});

	it('grows with the answer, so that short ones are still accepted when long ones are not', () => {
		const short = longestAnswerMs(engine, {promptTokens: 647, answerTokens: 72});
		expect(short).to.be.below(longestAnswerMs(engine, {promptTokens: 647, answerTokens: 306}) / 2);
	});
});

describe('AnswerTimes', () => {
	it('gives the longest answer of each route', () => {
		const times = new AnswerTimes();
		times.record('a', 30, 100);
		times.record('a', 20, 200);
		times.record('b', 900, 200);
		expect(times.of('a', 300)).to.deep.equal(observed(2, 30));
		expect(times.of('c', 300)).to.deep.equal(observed(0, 0));
	});

	it('tells on which routes a part of an answer was passed on before its end, until the end of the next period', () => {
		const times = new AnswerTimes();
		times.recordPartial('a', ANSWER_TIMES_PERIOD_MS);
		times.record('a', 30, ANSWER_TIMES_PERIOD_MS);
		times.record('b', 30, ANSWER_TIMES_PERIOD_MS);
		expect(times.of('a', (ANSWER_TIMES_PERIOD_MS * 3) - 1)).to.deep.equal(observed(1, 30, true));
		expect(times.of('b', (ANSWER_TIMES_PERIOD_MS * 3) - 1)).to.deep.equal(observed(1, 30));
		expect(times.of('a', ANSWER_TIMES_PERIOD_MS * 4)).to.deep.equal(observed(0, 0));
	});

	it('forgets it after the next period', () => {
		const times = new AnswerTimes();
		times.record('a', 30, ANSWER_TIMES_PERIOD_MS);
		expect(times.of('a', (ANSWER_TIMES_PERIOD_MS * 3) - 1).longestMs).to.equal(30);
		expect(times.of('a', ANSWER_TIMES_PERIOD_MS * 4).longestMs).to.equal(0);
	});

	it('forgets it after a pause without answers', () => {
		const times = new AnswerTimes();
		times.record('a', 30, ANSWER_TIMES_PERIOD_MS);
		expect(times.of('a', ANSWER_TIMES_PERIOD_MS * 9).longestMs).to.equal(0);
	});
});
