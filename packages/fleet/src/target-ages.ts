import type {ModelTarget, TargetAge} from './types.js';

/** Time for which target versions have been known, in milliseconds, for peers that learned of them later. */
export const targetAges = (targets: readonly ModelTarget[], now: number): readonly TargetAge[] => {
	const since = (at: number | undefined): number | undefined => at === undefined ? undefined : now - at;
	return targets.map(({model, version, knownAt, learnedAt, absentAt, witnessedAt}) => ({
		model, version, ageMs: now - knownAt, countedMs: now - learnedAt, absentMs: since(absentAt), witnessedMs: since(witnessedAt),
	}));
};
