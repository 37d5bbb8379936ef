/** `rollout`: time and origin bytes until a new version runs on N replicas, against a baseline that reads everything from the origin. */
import type {Benchmark} from '../types.js';
import {runBaseline} from './run-baseline.js';
import {RolloutRun} from './run-rollout.js';
import type {RolloutOutcome, RolloutPlan} from './types.js';

const MEGABYTE = 1024 * 1024;
const REGION_NAMES = ['western', 'northern', 'southern'];

type Values = Readonly<Record<string, string | boolean>>;

const readPlan = (values: Values): RolloutPlan => {
	const linkBytesPerSecond = Number(values.linkMb) * MEGABYTE;
	return {
		replicas: Number(values.replicas),
		sizeBytes: Number(values.sizeMb) * MEGABYTE,
		chunkBytes: Number(values.chunkKb) * 1024,
		regions: REGION_NAMES.slice(0, Number(values.regions)),
		linkBytesPerSecond,
		crossRegionBytesPerSecond: linkBytesPerSecond,
		balance: Number(values.balance),
		maxSwitchingShare: Number(values.switchingShare),
		withFaults: values.faults === true,
	};
};

const round = (value: number, digits = 3): number => Number(value.toFixed(digits));

const measure = async (plan: RolloutPlan, progress: (line: string) => void): Promise<RolloutOutcome> => {
	const rollout = new RolloutRun(plan, progress);
	try {
		return await rollout.run();
	} finally {
		await rollout.close();
	}
};

export const ROLLOUT_BENCHMARK: Benchmark = {
	name: 'rollout',
	description: 'Time and origin bytes until a new version runs on N replicas.',
	options: [
		{flags: '--replicas <n>', description: 'engines with an agent each', default: '8'},
		{flags: '--size-mb <n>', description: 'size of the new version', default: '16'},
		{flags: '--chunk-kb <n>', description: 'size of a chunk', default: '128'},
		{flags: '--link-mb <n>', description: 'line rate of a VM in each direction, in MB/s; the origin has twice that', default: '4'},
		{flags: '--regions <n>', description: 'regions from 1 to 3, linked at the line rate of a VM', default: '1'},
		{flags: '--balance <n>', description: 'rollout.balance', default: '0.5'},
		{flags: '--switching-share <n>', description: 'max_switching_share', default: '1'},
		{flags: '--faults', description: 'kill one VM in eight and corrupt 5% of the origin\'s chunks'},
		{flags: '--no-baseline', description: 'leave the baseline out'},
	],
	async run(values, progress) {
		const plan = readPlan(values);
		const {replicas, sizeBytes, linkBytesPerSecond} = plan;
		const lowerBoundSeconds = sizeBytes / linkBytesPerSecond;
		const outcome = await measure(plan, progress);
		progress(`rollout: ${outcome.seconds} s`);
		const secondsBaseline = values.baseline === false ? undefined : await runBaseline(plan);
		return {
			replicas,
			sizeMb: sizeBytes / MEGABYTE,
			regions: plan.regions.length,
			faults: plan.withFaults,
			seconds: round(outcome.seconds),
			lowerBoundSeconds: round(lowerBoundSeconds),
			secondsBaseline: secondsBaseline === undefined ? undefined : round(secondsBaseline),
			secondsOverLowerBound: round(outcome.seconds / lowerBoundSeconds),
			secondsOverBaseline: secondsBaseline === undefined ? undefined : round(outcome.seconds / secondsBaseline),
			quartiles: outcome.quartiles.map(value => round(value)),
			originCopies: round(outcome.originCopies),
			crossRegionCopies: round(outcome.crossRegionCopies),
			liveP99Ratio: round(outcome.liveP99DuringMs / outcome.liveP99BeforeMs),
			liveP99BeforeMs: round(outcome.liveP99BeforeMs, 1),
			liveP99DuringMs: round(outcome.liveP99DuringMs, 1),
			liveCalls: outcome.liveCalls,
			slowdowns: outcome.slowdowns,
			failedPeers: outcome.failedPeers,
			agentCpuSeconds: round(outcome.agentCpuSeconds, 1),
			violations: outcome.violations,
		};
	},
};
