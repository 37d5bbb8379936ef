import {expect} from 'chai';
import {staysReady, type HandoverSituation, type ObservedEntry} from './handover.js';

const situation = (others: readonly ObservedEntry[], changes: Partial<HandoverSituation> = {}): HandoverSituation => ({
	stoppingMs: 1000, graceMs: 8000, isListed: true, hasClaim: true, others, ...changes,
});

const stopping = (forMs: number): ObservedEntry => ({kind: 'stopping', forMs});
const READY: ObservedEntry = {kind: 'ready'};
const STARTING: ObservedEntry = {kind: 'starting'};
const SILENT: ObservedEntry = {kind: 'silent'};

describe('staysReady', () => {
	describe('while another entry is ready', () => {
		it('leaves at once', () => {
			expect(staysReady(situation([stopping(4000), READY], {stoppingMs: 0}))).to.equal(false);
		});
	});

	describe('while no other entry is ready', () => {
		it('stays if the others were stopped before, or start', () => {
			expect(staysReady(situation([stopping(5000), stopping(3000)]))).to.equal(true);
			expect(staysReady(situation([STARTING, stopping(3000)]))).to.equal(true);
		});

		it('stays if no others are left', () => {
			expect(staysReady(situation([]))).to.equal(true);
		});

		it('stays for 3.5 s at most', () => {
			expect(staysReady(situation([STARTING], {stoppingMs: 3400}))).to.equal(true);
			expect(staysReady(situation([STARTING], {stoppingMs: 3500}))).to.equal(false);
		});

		it('leaves if one that was stopped later may stay', () => {
			expect(staysReady(situation([stopping(200)]))).to.equal(false);
		});

		it('leaves if all were stopped at the same time', () => {
			expect(staysReady(situation([stopping(1010), stopping(995)]))).to.equal(false);
			expect(staysReady(situation([stopping(1499)]))).to.equal(false);
		});

		it('keeps half of a short grace for the answers', () => {
			expect(staysReady(situation([STARTING], {graceMs: 2000}))).to.equal(false);
		});
	});

	describe('while others are silent or may be unknown', () => {
		it('stays only as long as the platform takes it out in time', () => {
			expect(staysReady(situation([SILENT], {stoppingMs: 1400}))).to.equal(true);
			expect(staysReady(situation([SILENT], {stoppingMs: 1500}))).to.equal(false);
			expect(staysReady(situation([], {stoppingMs: 1500, isListed: false}))).to.equal(false);
		});

		it('stays no longer without the claim of the store, which only one entry gets', () => {
			expect(staysReady(situation([], {stoppingMs: 1400, hasClaim: false}))).to.equal(true);
			expect(staysReady(situation([], {stoppingMs: 1500, hasClaim: false}))).to.equal(false);
		});
	});

	it('never lets two entries stay, whenever each was stopped', () => {
		for (let laterMs = 0; laterMs < 4000; laterMs += 50) {
			for (const latencyMs of [0, 40, 300]) {
				const early = situation([stopping(Math.max(0, 1000 - latencyMs))], {stoppingMs: 1000 + laterMs});
				const late = situation([stopping(Math.max(0, 1000 + laterMs - latencyMs))], {stoppingMs: 1000});
				expect(staysReady(early) && staysReady(late), `${laterMs} ms, latency ${latencyMs} ms`).to.equal(false);
			}
		}
	});
});
