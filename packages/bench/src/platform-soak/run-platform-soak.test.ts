import {expect} from 'chai';
import {runPlatformSoak} from './run-platform-soak.js';

describe('platform soak', () => {
	it('breaks no promise in a short run with faults, so that a fault of the real processes shows before a release', async function () {
		this.timeout(90_000);
		const {requests, successes, breaches} = await runPlatformSoak({seed: 'short', seconds: 6, progress: () => undefined});
		expect(breaches).to.deep.equal([]);
		expect(requests).to.be.greaterThan(100);
		expect(successes).to.be.greaterThan(requests / 2);
	});
});
