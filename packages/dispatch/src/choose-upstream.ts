/**
Chooses the upstream for a request.

It covers even load over upstreams of equal speed; several entries that decide at the same time on reports of the same age;
long prompts in quick succession; engines that become available while requests wait at all entries; upstreams that are slow,
behind a congested link, switching their weights, leaving, refusing or failing; and the case in which no slot is free.
*/
import {
	EXPIRING_VERSION_SLOT_FRACTION, FAILURE_DOMAIN_PENALTY, LATE_SLOT_FRACTION, MAX_REPORT_AGE_MS, MIN_UNRESPONSIVE_MS, NORMAL_START_FACTOR, OUTSIDE_SUBSET_PENALTY,
	SCORE_TOLERANCE, UNREAD_TOKENS_PER_FULL_LOAD, UNRESPONSIVE_FACTOR,
} from './constants.js';
import {hasPathRoom, isPathSilent} from './path-room.js';
import {canReadInTime, firstToRead} from './prompt-reading.js';
import type {Placement, PlacementRequirements, UpstreamView} from './types.js';

/**
Estimates the number of requests at an upstream: the reported number, adjusted by this entry's own sends and completions
since the report, and at least this entry's own requests. The entries that share the upstream decide on the same report, so
each of them expects the others to send as many requests as it does itself.
*/
export const estimateLoad = ({ownRequests, reportedRequests, reportAgeMs, ownSinceReport, sharingEntries}: UpstreamView): number =>
	reportedRequests === undefined || reportAgeMs > MAX_REPORT_AGE_MS
		? ownRequests
		: Math.max(ownRequests, reportedRequests + (ownSinceReport > 0 ? ownSinceReport * sharingEntries : ownSinceReport));

/** Average load of the upstreams in the subset, as a fraction of their slots. Assumed for upstreams outside it, which send no reports. */
const averageSubsetLoad = (views: readonly UpstreamView[]): number => {
	const subset = views.filter(({isInSubset}) => isInSubset);
	return subset.length === 0 ? 0 : subset.reduce((sum, view) => sum + (estimateLoad(view) / view.slots), 0) / subset.length;
};

const loadFraction = (view: UpstreamView, averageLoad: number): number => Math.max(estimateLoad(view) / view.slots, view.isInSubset ? 0 : averageLoad);

const placementScore = (view: UpstreamView, requirements: PlacementRequirements, averageLoad: number): number => {
	const loadWithRequest = loadFraction(view, averageLoad) + (1 / view.slots);
	// A full upstream starts a request later than an idle one. Only a greater delay indicates a slow network path or upstream.
	const slowness = (view.startMs ?? 0) / (requirements.usualStartMs * NORMAL_START_FACTOR);
	// A running request slows the others slightly, whereas an unread prompt delays the first event of a new request.
	const unread = view.unreadTokens / UNREAD_TOKENS_PER_FULL_LOAD;
	return ((loadWithRequest + unread) * Math.max(1, view.pace, slowness))
		+ (view.failureDomain === requirements.failureDomain ? 0 : FAILURE_DOMAIN_PENALTY) + (view.isInSubset ? 0 : OUTSIDE_SUBSET_PENALTY);
};

const hasRequiredVersion = ({heldVersion}: UpstreamView, {needsWeights, oldestVersion}: PlacementRequirements): boolean =>
	!needsWeights || (heldVersion !== undefined && heldVersion >= (oldestVersion ?? 0));

/**
Fraction of the slots that may be used. The last free slots are kept for requests that can meet their goal, since these earn
more. Requests queued at an upstream must start before its version expires.
*/
const usableSlotFraction = ({heldVersion}: UpstreamView, {needsWeights, oldestVersionSoon, isLate = false}: PlacementRequirements): number =>
	Math.min(
		isLate ? LATE_SLOT_FRACTION : 1,
		needsWeights && heldVersion !== undefined && heldVersion < (oldestVersionSoon ?? 0) ? EXPIRING_VERSION_SLOT_FRACTION : 1,
	);

/** Whether a request arrives before the version of its upstream expires, also on a path that delays it. */
const arrivesInTime = (view: UpstreamView, {needsWeights, oldestVersionOnSlowPath = 0}: PlacementRequirements): boolean =>
	!needsWeights || !view.underWay.isSlow || (view.heldVersion ?? 0) >= oldestVersionOnSlowPath;

/** Without a free connection, a request would wait where no other upstream can be chosen for it any more. */
const hasFreeConnection = ({ownRequests, maxConnections}: UpstreamView): boolean => ownRequests < maxConnections;

/** Whether earlier sends have had no response for longer than normal load explains. */
const isUnresponsive = ({unansweredMs}: UpstreamView, {usualStartMs}: PlacementRequirements): boolean => unansweredMs > Math.max(MIN_UNRESPONSIVE_MS, usualStartMs * UNRESPONSIVE_FACTOR);

/**
Chooses an upstream with a free slot, or says why there is none.

@param random a number from 0 up to but not including 1
*/
export const chooseUpstream = (upstreams: readonly UpstreamView[], requirements: PlacementRequirements, random: number): Placement => {
	const present = upstreams.filter(({isLeaving}) => !isLeaving);
	if (present.length === 0) {
		return {kind: 'unavailable', reason: 'no-upstream', isLoading: false};
	}

	const {allowedDomains} = requirements;
	const permitted = allowedDomains ? present.filter(({failureDomain}) => allowedDomains.has(failureDomain)) : present;
	if (permitted.length === 0) {
		return {kind: 'unavailable', reason: 'no-upstream-in-region', isLoading: false};
	}

	const capable = permitted.filter(view => hasRequiredVersion(view, requirements));
	if (capable.length === 0) {
		return {kind: 'unavailable', reason: 'no-version', isLoading: permitted.some(({isSwitching}) => isSwitching)};
	}

	const untried = capable.filter(({key}) => !requirements.excludedKeys.has(key));
	if (untried.length === 0) {
		return {kind: 'unavailable', reason: 'all-tried', isLoading: false};
	}

	const accepting = untried.filter(({refusesForMs}) => refusesForMs === 0);
	if (accepting.length === 0) {
		return {
			kind: 'unavailable', reason: 'refusing', isLoading: false, availableInMs: Math.min(...untried.map(({refusesForMs}) => refusesForMs)),
		};
	}

	const trial = accepting.find(view => view.isDueForTrial && !view.isSwitching && hasFreeConnection(view) && view.underWay.windowBytes > 0 && arrivesInTime(view, requirements));
	if (trial) {
		return {
			kind: 'send', key: trial.key, load: estimateLoad(trial), reason: 'trial',
		};
	}

	// When all upstreams are suspended or unresponsive, use them anyway: some requests may still succeed.
	const healthy = accepting.filter(view => !view.isSuspended && !isUnresponsive(view, requirements));
	const usable = healthy.length > 0 ? healthy : accepting;
	// Several network paths often fail together. A retry over another failed path would arrive after the caller has given up.
	const responsive = requirements.isRetry ? usable.filter(({startMs}) => startMs !== undefined) : usable;
	const candidates = responsive.length > 0 ? responsive : usable;
	const averageLoad = averageSubsetLoad(candidates);
	const {reading, claimedKeys} = requirements;
	const withSlot = candidates.filter(view => !view.isSwitching && !claimedKeys?.has(view.key) && hasFreeConnection(view)
		&& loadFraction(view, averageLoad) < usableSlotFraction(view, requirements));
	const withPlace = reading ? withSlot.filter(view => canReadInTime(view, reading)) : withSlot;
	const isReachable = (view: UpstreamView): boolean => hasPathRoom(view, requirements) && arrivesInTime(view, requirements);
	const free = withPlace.filter(view => isReachable(view));
	if (free.length === 0) {
		const next = withPlace.length === 0 ? firstToRead(withSlot.filter(view => isReachable(view))) : undefined;
		if (next) {
			return {
				kind: 'busy', usable: usable.length, reason: 'prompt-too-long', nextKey: next.key,
			};
		}

		return withPlace.length > 0 && withPlace.every(view => isPathSilent(view, requirements) || !arrivesInTime(view, requirements))
			? {kind: 'unavailable', reason: 'silent-path', isLoading: false}
			: {kind: 'busy', usable: usable.length, reason: 'all-places-taken'};
	}

	const scored = free.map(view => ({view, score: placementScore(view, requirements, averageLoad)}));
	const best = Math.min(...scored.map(({score}) => score));
	const nearBest = scored.filter(({score}) => score <= best + SCORE_TOLERANCE);
	const {view} = nearBest[Math.floor(random * nearBest.length)];
	return {
		kind: 'send', key: view.key, load: estimateLoad(view), reason: 'free',
	};
};
