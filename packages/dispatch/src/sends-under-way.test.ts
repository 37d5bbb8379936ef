import {expect} from 'chai';
import {NOTHING_UNDER_WAY, SendsUnderWay} from './sends-under-way.js';

const SILENCE_MS = 250;

describe('SendsUnderWay', () => {
	let underWay: SendsUnderWay;

	beforeEach(() => {
		underWay = new SendsUnderWay();
	});

	describe('when a response arrives', () => {
		it('takes what was written before for arrived', () => {
			underWay.add(0, 100);
			const second = underWay.add(10, 200);
			underWay.add(20, 300);
			underWay.add(30, 300);
			underWay.confirm(second, {now: 50, silenceMs: SILENCE_MS});
			const {sends, bytes, oldestMs, newestMs} = underWay.at(50);
			expect({
				sends, bytes, oldestMs, newestMs,
			}).to.deep.equal({
				sends: 2, bytes: 600, oldestMs: 30, newestMs: 20,
			});
		});

		it('allows only what the path would have delivered in time, if it is late', () => {
			underWay.add(0, 6000);
			const last = underWay.add(0, 6000);
			underWay.confirm(last, {now: SILENCE_MS * 4, silenceMs: SILENCE_MS});
			expect(underWay.at(1000).windowBytes).to.equal(3000);
		});

		it('allows more while responses are in time and most of the window is used', () => {
			const {windowBytes} = NOTHING_UNDER_WAY;
			underWay.confirm(underWay.add(0, windowBytes / 4), {now: 100, silenceMs: SILENCE_MS});
			expect(underWay.at(100).windowBytes).to.equal(windowBytes);
			underWay.confirm(underWay.add(0, windowBytes), {now: 100, silenceMs: SILENCE_MS});
			expect(underWay.at(100).windowBytes).to.equal(windowBytes * 2);
		});

		it('calls the path slow for a while after a late one', () => {
			underWay.confirm(underWay.add(0, 100), {now: SILENCE_MS * 2, silenceMs: SILENCE_MS});
			expect(underWay.at(SILENCE_MS * 2).isSlow).to.equal(true);
			expect(underWay.at(SILENCE_MS * 100).isSlow).to.equal(false);
		});
	});

	describe('with probes of the path', () => {
		beforeEach(() => {
			underWay.beginProbes();
		});

		it('allows nothing after a late response, until a probe comes back in time', () => {
			underWay.confirm(underWay.add(0, 100), {now: SILENCE_MS * 2, silenceMs: SILENCE_MS});
			expect(underWay.at(SILENCE_MS * 2).windowBytes).to.equal(0);
			underWay.applyProbe('answered', {startedAt: 600, now: 610, silenceMs: SILENCE_MS});
			expect(underWay.at(610).windowBytes).to.equal(NOTHING_UNDER_WAY.windowBytes);
		});

		it('takes what was written before an answered probe for arrived', () => {
			underWay.add(0, 100);
			underWay.add(20, 100);
			underWay.applyProbe('answered', {startedAt: 10, now: 30, silenceMs: SILENCE_MS});
			expect(underWay.at(30).sends).to.equal(1);
		});

		it('lets a request find out when no probe is answered for long', () => {
			let probes = 0;
			do {
				underWay.applyProbe('no-answer', {startedAt: probes, now: probes + 1, silenceMs: SILENCE_MS});
				probes++;
			} while (underWay.at(probes).windowBytes === 0);

			expect(probes).to.equal(5);
		});
	});

	describe('when a send ends without a response', () => {
		it('goes on counting it for a while, because it may still arrive', () => {
			const key = underWay.add(0, 100);
			underWay.abandon(key, {now: 200, silenceMs: SILENCE_MS});
			expect(underWay.at(599).sends).to.equal(1);
			expect(underWay.at(600)).to.deep.equal(NOTHING_UNDER_WAY);
		});

		it('allows less afterwards, if a response would have been late', () => {
			const key = underWay.add(0, 4000);
			underWay.abandon(key, {now: SILENCE_MS * 4, silenceMs: SILENCE_MS});
			expect(underWay.at(SILENCE_MS * 20).windowBytes).to.equal(1000);
		});

		it('takes it for arrived when a later send is confirmed', () => {
			const key = underWay.add(0, 100);
			underWay.abandon(key, {now: 200, silenceMs: SILENCE_MS});
			underWay.confirm(underWay.add(210, 100), {now: 300, silenceMs: SILENCE_MS});
			expect(underWay.at(300).sends).to.equal(0);
		});
	});

	describe('when a send ends after its response began', () => {
		it('does not count it again', () => {
			const key = underWay.add(0, 100);
			underWay.confirm(key, {now: 100, silenceMs: SILENCE_MS});
			underWay.abandon(key, {now: 500, silenceMs: SILENCE_MS});
			expect(underWay.at(500).sends).to.equal(0);
		});
	});
});
