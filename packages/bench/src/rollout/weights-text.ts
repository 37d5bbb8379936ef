import {createWeights} from '@yuccawood/stand-ins';
import type {RolloutPlan} from './types.js';

export const MODEL = 'kit-assistant';

/** The version that serves before the rollout is small, as its rollout is not measured. */
const FIRST_VERSION_BYTES = 64 * 1024;

type Plan = Pick<RolloutPlan, 'sizeBytes' | 'chunkBytes'>;

const fieldsOf = (version: 'v1' | 'v2', {sizeBytes, chunkBytes}: Plan) => ({
	seed: `rollout-${version}`, name: MODEL, version, kind: 'model', sizeBytes: version === 'v1' ? FIRST_VERSION_BYTES : sizeBytes, chunkBytes,
} as const);

/** Weights as the command line of the stand-in takes them. */
export const weightsText = (version: 'v1' | 'v2', plan: Plan): string => Object.values(fieldsOf(version, plan)).join(':');

export const manifestHash = (version: 'v1' | 'v2', plan: Plan): string => createWeights(fieldsOf(version, plan)).hash;
