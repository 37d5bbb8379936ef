/**
Sizes and costs of the model by default: a fleet of hundreds of VMs whose callers ask for half again more than it can serve.
*/
import type {EngineProfile} from '@yuccawood/fleet';
import {CURRENT_POLICY, type OverloadOptions} from './types.js';

/** Published costs of an engine of the large deployment. */
export const LARGE_ENGINE: EngineProfile = {
	models: ['m'], slots: 8, stepMs: 11.1, stepMsPerRequest: 0.058, stepsPerPass: 6, prefillTokensPerSecond: 21_300, prefillTokensPerPass: 2048,
	usualPromptTokens: 980, usualAnswerTokens: 85, layers: 16, chunks: 48, chunkBytes: 49_152,
};

export const DEFAULT_OVERLOAD: OverloadOptions = {
	entries: 35, engines: 109, profile: LARGE_ENGINE, engineQueue: 16, load: 1.5, durationMs: 20_000, warmUpMs: 4000, seed: '1', goalMs: 480, deadlineMs: 6000, lateWorth: 0.25,
	callerRetries: 1, faults: [], policy: CURRENT_POLICY,
};
