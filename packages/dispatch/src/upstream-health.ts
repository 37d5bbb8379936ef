/**
Tracks the health of an upstream by the outcome of requests, because its health check may succeed while requests fail.

It detects upstreams that fail some of their requests, hang, or have gone while they are still listed.
*/
import {INITIAL_SUSPENSION_MS, MAX_SUSPENSION_MS, SUSPEND_AFTER_FAILURES} from './constants.js';

export type UpstreamHealth = {
	/** Consecutive failures. */
	readonly failures: number;

	/** Suspensions since the last success. */
	readonly suspensions: number;

	/** Monotonic milliseconds. */
	readonly suspendedUntil: number;
	readonly isTrialRunning: boolean;
};

export const HEALTHY: UpstreamHealth = {
	failures: 0, suspensions: 0, suspendedUntil: Number.NEGATIVE_INFINITY, isTrialRunning: false,
};

export const afterSuccess = (health: UpstreamHealth): UpstreamHealth => health === HEALTHY ? health : HEALTHY;

/** @param isFatal the connection was refused or reset, so the upstream is probably gone */
export const afterFailure = (health: UpstreamHealth, now: number, {isFatal}: {readonly isFatal: boolean}): UpstreamHealth => {
	const failures = health.failures + 1;
	if (!isFatal && !health.isTrialRunning && failures < SUSPEND_AFTER_FAILURES) {
		return {...health, failures};
	}

	// Requests that were in flight when the suspension began may still fail; they don't extend it.
	if (now < health.suspendedUntil) {
		return {...health, failures, isTrialRunning: false};
	}

	const suspensionMs = Math.min(MAX_SUSPENSION_MS, INITIAL_SUSPENSION_MS * (2 ** health.suspensions));
	return {
		failures, suspensions: health.suspensions + 1, suspendedUntil: now + suspensionMs, isTrialRunning: false,
	};
};

export const afterTrialStart = (health: UpstreamHealth): UpstreamHealth => ({...health, isTrialRunning: true});

/** For a trial whose request ended without showing whether the upstream is sound: it was refused, or its caller left. */
export const afterTrialWithoutVerdict = (health: UpstreamHealth): UpstreamHealth => health.isTrialRunning ? {...health, isTrialRunning: false} : health;

/** Returns the status of the upstream. After a suspension it gets one trial request at a time until one succeeds. */
export const healthStatus = (health: UpstreamHealth, now: number): 'good' | 'suspended' | 'trial' => {
	if (health.suspensions === 0) {
		return 'good';
	}

	return now < health.suspendedUntil || health.isTrialRunning ? 'suspended' : 'trial';
};
