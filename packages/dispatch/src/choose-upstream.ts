/**
Chooses the upstream for a request.

It covers even load over upstreams of equal speed; several entries that decide at the same time on reports of the same age;
long prompts in quick succession; upstreams that are slow, behind a congested link, switching their weights, leaving or
failing; and the case in which no slot is free.
*/
import {
	FAILURE_DOMAIN_PENALTY, EXPIRING_VERSION_SLOT_FRACTION, OUTSIDE_SUBSET_PENALTY, MIN_STUCK_MS, MAX_REPORT_AGE_MS, SCORE_TOLERANCE,
	STUCK_START_FACTOR, UNREAD_TOKENS_PER_FULL_LOAD, NORMAL_START_FACTOR,
} from './constants.js';
import type {Placement, PlacementNeed, UpstreamView} from './types.js';

/**
Estimates the number of requests at an upstream: the reported number, adjusted by this entry's own sends and completions
since the report, and at least this entry's own requests.
*/
export const estimateLoad = ({ownRequests, reportedRequests, reportAgeMs, ownSinceReport}: UpstreamView): number =>
	reportedRequests === undefined || reportAgeMs > MAX_REPORT_AGE_MS
		? ownRequests
		: Math.max(ownRequests, reportedRequests + ownSinceReport);

/** Average load of the upstreams in the subset, as a fraction of their slots. Assumed for upstreams outside it, which send no reports. */
const averageSubsetLoad = (views: readonly UpstreamView[]): number => {
	const near = views.filter(({isNear}) => isNear);
	return near.length === 0 ? 0 : near.reduce((sum, view) => sum + (estimateLoad(view) / view.slots), 0) / near.length;
};

const loadFraction = (view: UpstreamView, usual: number): number => Math.max(estimateLoad(view) / view.slots, view.isNear ? 0 : usual);

const placementScore = (view: UpstreamView, need: PlacementNeed, usual: number): number => {
	const share = loadFraction(view, usual) + (1 / view.slots);
	// A full upstream starts a request later than an idle one. Only a greater delay indicates a slow network path or upstream.
	const slowness = (view.startMs ?? 0) / (need.usualStartMs * NORMAL_START_FACTOR);
	// A running request slows the others slightly, whereas an unread prompt delays the first event of a new request.
	const unread = view.unreadTokens / UNREAD_TOKENS_PER_FULL_LOAD;
	return ((share + unread) * Math.max(1, view.pace, slowness))
		+ (view.failureDomain === need.failureDomain ? 0 : FAILURE_DOMAIN_PENALTY) + (view.isNear ? 0 : OUTSIDE_SUBSET_PENALTY);
};

const hasRequiredVersion = ({heldVersion}: UpstreamView, {needsWeights, oldestVersion}: PlacementNeed): boolean =>
	!needsWeights || (heldVersion !== undefined && heldVersion >= (oldestVersion ?? 0));

/** Fraction of the slots that may be used. Requests queued at an upstream must start before its version expires. */
const usableSlotFraction = ({heldVersion}: UpstreamView, {needsWeights, soonOldestVersion}: PlacementNeed): number =>
	needsWeights && heldVersion !== undefined && heldVersion < (soonOldestVersion ?? 0) ? EXPIRING_VERSION_SLOT_FRACTION : 1;

/** Whether earlier sends have had no response for longer than normal load explains. */
const isUnresponsive = ({silentMs}: UpstreamView, {usualStartMs}: PlacementNeed): boolean => silentMs > Math.max(MIN_STUCK_MS, usualStartMs * STUCK_START_FACTOR);

/** @param random a number from 0 up to but not including 1 */
export const chooseUpstream = (upstreams: readonly UpstreamView[], need: PlacementNeed, random: number): Placement => {
	const present = upstreams.filter(({isLeaving}) => !isLeaving);
	if (present.length === 0) {
		return {kind: 'unavailable', reason: 'no-upstream', isLoading: false};
	}

	const capable = present.filter(view => hasRequiredVersion(view, need));
	if (capable.length === 0) {
		return {kind: 'unavailable', reason: 'no-version', isLoading: present.some(({isSwitching}) => isSwitching)};
	}

	const untried = capable.filter(({key}) => !need.excluded.has(key));
	if (untried.length === 0) {
		return {kind: 'unavailable', reason: 'all-tried', isLoading: false};
	}

	const trial = untried.find(({isOnTrial, isSwitching}) => isOnTrial && !isSwitching);
	if (trial) {
		return {
			kind: 'send', key: trial.key, load: estimateLoad(trial), reason: 'trial',
		};
	}

	// When all upstreams are suspended or unresponsive, use them anyway: some requests may still succeed.
	const healthy = untried.filter(view => !view.isSuspended && !isUnresponsive(view, need));
	const usable = healthy.length > 0 ? healthy : untried;
	// Several network paths often fail together. A retry over another failed path would arrive after the caller has given up.
	const responsive = need.isRepeat ? usable.filter(({startMs}) => startMs !== undefined) : usable;
	const candidates = responsive.length > 0 ? responsive : usable;
	const averageLoad = averageSubsetLoad(candidates);
	const free = candidates.filter(view => !view.isSwitching && loadFraction(view, averageLoad) < usableSlotFraction(view, need));
	if (free.length === 0) {
		return {kind: 'busy', usable: usable.length, reason: 'all-places-taken'};
	}

	const scored = free.map(view => ({view, score: placementScore(view, need, averageLoad)}));
	const best = Math.min(...scored.map(({score}) => score));
	const nearBest = scored.filter(({score}) => score <= best + SCORE_TOLERANCE);
	const {view} = nearBest[Math.floor(random * nearBest.length)];
	return {
		kind: 'send', key: view.key, load: estimateLoad(view), reason: 'free',
	};
};
