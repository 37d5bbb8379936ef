/**
Chooses the upstream for a request.

Load patterns: even load over upstreams of equal speed; several entries deciding at once on reports of the same age;
long prompts that follow each other closely;
an upstream that is slow, stuck behind a narrow link, switches its weights, leaves or fails; all places taken.
*/
import {
	DOMAIN_PENALTY, EXPIRING_SLOTS_SHARE, FAR_PENALTY, MIN_SILENT_MS, REPORT_LIFE_MS, SCORE_TOLERANCE, SILENT_STARTS, UNREAD_TOKENS_PER_LOAD, USUAL_START_SPREAD,
} from './constants.js';
import type {Placement, PlacementNeed, UpstreamView} from './types.js';

/** Requests at an upstream now: its report, corrected by what this entry did since, and never fewer than this entry's own. */
export const estimateLoad = ({ownRequests, reportedRequests, reportAgeMs, ownSinceReport}: UpstreamView): number =>
	reportedRequests === undefined || reportAgeMs > REPORT_LIFE_MS
		? ownRequests
		: Math.max(ownRequests, reportedRequests + ownSinceReport);

/** Load of the near upstreams in shares of their slots: what is assumed of those that send no reports. */
const usualShare = (views: readonly UpstreamView[]): number => {
	const near = views.filter(({isNear}) => isNear);
	return near.length === 0 ? 0 : near.reduce((sum, view) => sum + (estimateLoad(view) / view.slots), 0) / near.length;
};

const shareOf = (view: UpstreamView, usual: number): number => Math.max(estimateLoad(view) / view.slots, view.isNear ? 0 : usual);

const scoreOf = (view: UpstreamView, need: PlacementNeed, usual: number): number => {
	const share = shareOf(view, usual) + (1 / view.slots);
	// A full upstream starts later than an empty one; only more than that shows a slow path or a slow upstream.
	const slowness = (view.startMs ?? 0) / (need.usualStartMs * USUAL_START_SPREAD);
	// A running request slows the others a little; a prompt that is still to be read holds up the first event of a new one.
	const unread = view.unreadTokens / UNREAD_TOKENS_PER_LOAD;
	return ((share + unread) * Math.max(1, view.pace, slowness))
		+ (view.failureDomain === need.failureDomain ? 0 : DOMAIN_PENALTY) + (view.isNear ? 0 : FAR_PENALTY);
};

const holdsVersion = ({heldVersion}: UpstreamView, {needsWeights, oldestVersion}: PlacementNeed): boolean =>
	!needsWeights || (heldVersion !== undefined && heldVersion >= (oldestVersion ?? 0));

/** Share of the slots up to which requests are sent: what waits at an upstream must begin before its version expires. */
const usableShare = ({heldVersion}: UpstreamView, {needsWeights, soonOldestVersion}: PlacementNeed): number =>
	needsWeights && heldVersion !== undefined && heldVersion < (soonOldestVersion ?? 0) ? EXPIRING_SLOTS_SHARE : 1;

/** Earlier sends have had no data for so long that the path or the upstream holds them up. */
const isStuck = ({silentMs}: UpstreamView, {usualStartMs}: PlacementNeed): boolean => silentMs > Math.max(MIN_SILENT_MS, usualStartMs * SILENT_STARTS);

/** @param random a number from 0 up to but not including 1 */
export const chooseUpstream = (upstreams: readonly UpstreamView[], need: PlacementNeed, random: number): Placement => {
	const present = upstreams.filter(({isLeaving}) => !isLeaving);
	if (present.length === 0) {
		return {kind: 'unavailable', reason: 'no-upstream', isLoading: false};
	}

	const capable = present.filter(view => holdsVersion(view, need));
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

	// With every upstream suspended, one that works now and then is better than none.
	const trusted = untried.filter(view => !view.isSuspended && !isStuck(view, need));
	const usable = trusted.length > 0 ? trusted : untried;
	// Several paths often fail together; a repeat into another silent one would reach its upstream after the caller has left.
	const proven = need.isRepeat ? usable.filter(({startMs}) => startMs !== undefined) : usable;
	const candidates = proven.length > 0 ? proven : usable;
	const usual = usualShare(candidates);
	const free = candidates.filter(view => !view.isSwitching && shareOf(view, usual) < usableShare(view, need));
	if (free.length === 0) {
		return {kind: 'busy', usable: usable.length, reason: 'all-places-taken'};
	}

	const scored = free.map(view => ({view, score: scoreOf(view, need, usual)}));
	const best = Math.min(...scored.map(({score}) => score));
	const equal = scored.filter(({score}) => score <= best + SCORE_TOLERANCE);
	const {view} = equal[Math.floor(random * equal.length)];
	return {
		kind: 'send', key: view.key, load: estimateLoad(view), reason: 'free',
	};
};
