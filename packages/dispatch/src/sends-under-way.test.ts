import {expect} from 'chai';
import {SendsUnderWay} from './sends-under-way.js';

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
			underWay.confirm(second);
			expect(underWay.at(50)).to.deep.equal({sends: 1, bytes: 300, oldestMs: 30});
		});
	});

	describe('when a send ends without a response', () => {
		it('counts it for as long again as it was out, because it may still arrive', () => {
			const key = underWay.add(0, 100);
			underWay.abandon(key, 500);
			expect(underWay.at(999)).to.deep.equal({sends: 1, bytes: 100, oldestMs: 999});
			expect(underWay.at(1000)).to.deep.equal({sends: 0, bytes: 0, oldestMs: 0});
		});
	});

	describe('when a send ends after its response began', () => {
		it('does not count it again', () => {
			const key = underWay.add(0, 100);
			underWay.confirm(key);
			underWay.abandon(key, 500);
			expect(underWay.at(500).sends).to.equal(0);
		});
	});
});
