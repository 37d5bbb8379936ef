import {expect} from 'chai';
import {runPlatformSoak} from './run-platform-soak.js';

/** Seeds that failed once, with the cause. */
const REGRESSIONS = [
	{seed: 's16', seconds: 9, cause: 'a rollout released the pieces of a version that waited for the engine, and all newer ones waited behind it'},
	{seed: 's26', seconds: 8, cause: 'a reload signal ended a process whose modules were still loading'},
] as const;

const quiet = (): void => undefined;

describe('platform soak', function () {
	this.timeout(90_000);

	it('breaks no promise in a short run with faults, so that a fault of the real processes shows before a release', async () => {
		const {requests, successes, breaches} = await runPlatformSoak({seed: 'short', seconds: 6, progress: quiet});
		expect(breaches).to.deep.equal([]);
		expect(requests).to.be.greaterThan(100);
		expect(successes).to.be.greaterThan(requests / 2);
	});

	it('breaks no promise while a part of prompts crashes engines, so that requests with it are kept away beside other faults', async () => {
		const {successes, breaches, deadlyCrashes} = await runPlatformSoak({
			seed: 'deadly', seconds: 6, progress: quiet, hasDeadlyPart: true,
		});
		expect(breaches).to.deep.equal([]);
		expect(deadlyCrashes).to.be.greaterThan(0);
		expect(successes).to.be.greaterThan(100);
	});

	it('breaks no promise while entries restart under full load and callers leave early', async () => {
		const {left, judgedRuns, breaches} = await runPlatformSoak({
			seed: 'restarts', seconds: 5, progress: quiet, hasRestarts: true,
		});
		expect(breaches).to.deep.equal([]);
		expect(left).to.be.greaterThan(50);
		expect(judgedRuns).to.be.greaterThan(100);
	});

	it('breaks no promise while connections to the store go silent, so that no process takes what it holds for current', async () => {
		const {judgedRuns, breaches} = await runPlatformSoak({
			seed: 'silences', seconds: 14, progress: quiet, hasSilences: true,
		});
		expect(breaches).to.deep.equal([]);
		expect(judgedRuns).to.be.greaterThan(100);
	});

	it('breaks no promise while paths stand still and then deliver, and all entries stop without hearing each other', async () => {
		const {left, judgedRuns, breaches} = await runPlatformSoak({
			seed: 'standstills', seconds: 12, progress: quiet, hasStandstills: true,
		});
		expect(breaches).to.deep.equal([]);
		expect(left).to.be.greaterThan(50);
		expect(judgedRuns).to.be.greaterThan(100);
	});

	for (const {seed, seconds, cause} of REGRESSIONS) {
		it(`passes seed ${seed}, which failed because ${cause}`, async () => {
			const {breaches} = await runPlatformSoak({seed, seconds, progress: quiet});
			expect(breaches).to.deep.equal([]);
		});
	}
});
