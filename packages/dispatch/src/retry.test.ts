import {expect} from 'chai';
import {decideResend} from './decide-retry.js';
import {ResendBudget} from './retry-budget.js';
import type {ResendNeed} from './types.js';

const need = (changes: Partial<ResendNeed> = {}): ResendNeed => ({
	kind: 'idempotent', isResumable: false, failure: 'unknown', runs: 1, sends: 1, attempts: 2, remainingMs: 1000, hasBudget: true, ...changes,
});

describe('decideResend', () => {
	describe('at most one run of what may not be repeated', () => {
		it('gives up a request that may have run', () => {
			expect(decideResend(need({kind: 'once'}))).to.deep.equal({kind: 'give-up', reason: 'not-repeatable'});
			expect(decideResend(need({kind: 'stream'}))).to.deep.equal({kind: 'give-up', reason: 'not-repeatable'});
		});

		it('sends again what provably did not run', () => {
			expect(decideResend(need({kind: 'once', failure: 'not-run', runs: 0}))).to.deep.equal({kind: 'resend', usesBudget: true});
			expect(decideResend(need({kind: 'once', failure: 'not-sent', runs: 0}))).to.deep.equal({kind: 'resend', usesBudget: false});
		});
	});

	describe('streams', () => {
		it('goes on elsewhere only where the route allows it', () => {
			expect(decideResend(need({kind: 'stream', isResumable: true})).kind).to.equal('resend');
		});
	});

	describe('limits that keep repeats from multiplying an overload', () => {
		it('keeps to the attempts of the route, the budget and the time left', () => {
			expect(decideResend(need({runs: 2}))).to.deep.equal({kind: 'give-up', reason: 'attempts-used'});
			expect(decideResend(need({hasBudget: false}))).to.deep.equal({kind: 'give-up', reason: 'no-budget'});
			expect(decideResend(need({remainingMs: 10}))).to.deep.equal({kind: 'give-up', reason: 'no-time'});
			expect(decideResend(need({sends: 4, runs: 0, failure: 'not-run'}))).to.deep.equal({kind: 'give-up', reason: 'sends-used'});
		});
	});
});

describe('ResendBudget', () => {
	it('stays below the share of the requests in any window, summed over the entries', () => {
		const budget = new ResendBudget({
			windowMs: 10_000, ratio: 0.2, slack: 100, entries: () => 5,
		});
		for (let now = 0; now < 10_000; now += 10) {
			budget.countRequest(now);
		}

		let repeats = 0;
		while (budget.hasRoom(9999)) {
			budget.countRepeat(9999);
			repeats++;
		}

		// A fifth of 1000 requests, and this entry's fifth of the slack.
		expect(repeats).to.be.within(100, 220);
		expect(budget.hasRoom(9999)).to.equal(false);
		expect(budget.hasRoom(30_000)).to.equal(true);
	});
});
