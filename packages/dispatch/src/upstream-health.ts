/**
Judges an upstream by what it does with requests, because its health answer may be good while it fails.

Load pattern: an upstream that fails part of its requests, hangs, or is gone before the list says so.
*/
import {MAX_SUSPENSION_MS, SUSPEND_AFTER_FAILURES, INITIAL_SUSPENSION_MS} from './constants.js';

export type Health = {
	readonly failures: number;
	readonly suspensions: number;
	readonly suspendedUntil: number;
	readonly isTrialRunning: boolean;
};

export const HEALTHY: Health = {
	failures: 0, suspensions: 0, suspendedUntil: Number.NEGATIVE_INFINITY, isTrialRunning: false,
};

export const afterSuccess = (health: Health): Health => health === HEALTHY ? health : HEALTHY;

/** @param isFatal the connection was refused or reset, so the upstream is probably gone */
export const afterFailure = (health: Health, now: number, {isFatal}: {readonly isFatal: boolean}): Health => {
	const failures = health.failures + 1;
	if (!isFatal && !health.isTrialRunning && failures < SUSPEND_AFTER_FAILURES) {
		return {...health, failures};
	}

	// Requests in flight when the suspension began fail one after the other; they prolong nothing.
	if (now < health.suspendedUntil) {
		return {...health, failures, isTrialRunning: false};
	}

	const suspensionMs = Math.min(MAX_SUSPENSION_MS, INITIAL_SUSPENSION_MS * (2 ** health.suspensions));
	return {
		failures, suspensions: health.suspensions + 1, suspendedUntil: now + suspensionMs, isTrialRunning: false,
	};
};

export const afterTrialStart = (health: Health): Health => ({...health, isTrialRunning: true});

/** Suspended upstreams get one request at a time once their suspension is over. */
export const standing = (health: Health, now: number): 'good' | 'suspended' | 'trial' => {
	if (health.suspensions === 0) {
		return 'good';
	}

	return now < health.suspendedUntil || health.isTrialRunning ? 'suspended' : 'trial';
};
