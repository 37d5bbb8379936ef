/** Checks the answer of a peer that was asked for the ages of target versions. Its address may be that of another process. */
import type {TargetAge, TargetAges} from '@yuccawood/fleet';

/** Ages beyond this are mistakes, in milliseconds. */
const MAX_AGE_MS = 1e12;

const isAge = (value: unknown): value is number => typeof value === 'number' && Math.abs(value) <= MAX_AGE_MS;

const isTargetAge = (value: unknown): value is TargetAge => {
	const {model, version, ageMs, countedMs, absentMs = 0, witnessedMs = 0} = (value ?? {}) as Partial<TargetAge>;
	return typeof model === 'string' && Number.isSafeInteger(version) && [ageMs, countedMs, absentMs, witnessedMs].every(age => isAge(age));
};

export const isTargetAges = (value: unknown): value is TargetAges => {
	const {region, ages} = (value ?? {}) as Partial<TargetAges>;
	return typeof region === 'string' && Array.isArray(ages) && ages.every(age => isTargetAge(age));
};
