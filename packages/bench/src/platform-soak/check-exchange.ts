/** Checks what one caller saw against the promises of the platform's pages. */
import {
	ENDLESS_COMMENT, eventsFrom, STREAM_EVENTS, type RequestRun,
} from '@yuccawood/platform/testing';
import type {Breach, Exchange, Interval} from './types.js';

/** Time after the route's time limit by which a final answer must have come. */
const ANSWER_SLACK_MS = 500;

/** Statuses that promise that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export type Excuses = {
	/** Times in which the entry was killed or frozen. */
	readonly entry: readonly Interval[];

	/** Times in which upstreams broke connections, or paths to them were cut. */
	readonly paths: readonly Interval[];

	/** Time after which the end of a kept connection crossed no request. */
	readonly lossSlackMs: number;

	/** Times of the planned stops of the entry, and the grace of each. */
	readonly stops: readonly number[];
	readonly stopGraceMs: number;
};

/** A stopping entry may cut what is still at work in the last part of its grace, if it was sent early in it. */
const EARLY_IN_GRACE_MS = 3000;
const LAST_PART_OF_GRACE = 1 / 6;

const overlaps = (intervals: readonly Interval[], {sentAt, endedAt}: Exchange): boolean =>
	intervals.some(({from, to}) => from <= endedAt && to >= sentAt);

const checkSuccess = ({kind, requestId, body, isSealed, isComplete}: Exchange, isEndless: boolean): Omit<Breach, 'at'> | undefined => {
	if (!isSealed) {
		return {promise: 'mixed', detail: `${requestId}: a success without the seal of an upstream`};
	}

	if (kind !== 'stream') {
		return isComplete && body !== JSON.stringify(`done ${requestId}`) ? {promise: 'mixed', detail: `${requestId}: got "${body.slice(0, 60)}"`} : undefined;
	}

	if (isEndless && !isComplete) {
		return undefined;
	}

	const events = body.replaceAll(ENDLESS_COMMENT, '');
	const isPrefix = eventsFrom(1).startsWith(events);
	if (!isPrefix || (isComplete && events !== eventsFrom(1))) {
		return {promise: 'order', detail: `${requestId}: ${body.split('\n\n').length - 1} of ${STREAM_EVENTS} events, complete: ${isComplete}`};
	}

	return undefined;
};

/** Share of a caller's own time limit after which it may have passed for an entry, which counts from the earliest arrival. */
const REACHED_SHARE = 0.7;

const hasReachedLimit = ({writtenAt, endedAt, limitMs, timeoutMs}: Exchange): boolean =>
	limitMs < timeoutMs && endedAt - writtenAt >= limitMs * REACHED_SHARE;

const outlastsGrace = ({sentAt, endedAt}: Exchange, {stops, stopGraceMs}: Excuses): boolean =>
	stops.some(stopAt => sentAt <= stopAt + EARLY_IN_GRACE_MS && endedAt >= stopAt + (stopGraceMs * (1 - LAST_PART_OF_GRACE)));

/** Whether an entry read the request, by what its caller and the upstreams saw, and nothing allowed it to break off. */
const isCutEarly = (exchange: Exchange, runs: readonly RequestRun[], excuses: Excuses): boolean => {
	const {kind, status, isComplete, sentAt, endedAt, connection} = exchange;
	if ((status !== undefined && isComplete) || exchange.leftAt !== undefined || (runs.length > 0 && outlastsGrace(exchange, excuses))) {
		return false;
	}

	if (hasReachedLimit(exchange)) {
		return false;
	}

	// The end of a kept connection may cross a request.
	const isOwed = connection === 'new' || (connection === 'kept' && endedAt - sentAt > excuses.lossSlackMs);
	const wasRead = isOwed || status !== undefined || runs.length > 0;
	const didUpstreamBreak = (kind === 'stream' && overlaps(excuses.paths, exchange)) || runs.some(({endless}) => endless !== undefined);
	return wasRead && !didUpstreamBreak && !overlaps(excuses.entry, exchange);
};

/** @param runs runs of the request, in all upstreams */
export const checkExchange = (exchange: Exchange, runs: readonly RequestRun[], excuses: Excuses): ReadonlyArray<Omit<Breach, 'at'>> => {
	const {requestId, kind, status, isSealed, sentAt, endedAt, timeoutMs, limitMs} = exchange;
	const breaches: Array<Omit<Breach, 'at'>> = [];
	if (kind === 'once' && runs.length > 1) {
		breaches.push({promise: 'twice', detail: `${requestId} ran ${runs.length} times`});
	}

	if (status === 200) {
		const breach = checkSuccess(exchange, runs.some(({endless}) => endless !== undefined));
		if (breach) {
			breaches.push(breach);
		}
	}

	if (kind === 'once' && status !== undefined && !isSealed && NOT_RUN_STATUSES.has(status) && runs.length > 0) {
		breaches.push({promise: 'refused-ran', detail: `${requestId} was answered ${status} and ran`});
	}

	if (isCutEarly(exchange, runs, excuses)) {
		breaches.push({
			promise: 'no-answer',
			detail: `${requestId} (${kind}) to entry ${exchange.entry} was cut after ${Math.round(endedAt - sentAt)} ms of ${limitMs} ms, runs: ${runs.length}, connection: ${exchange.connection}`,
		});
	}

	if (endedAt - sentAt > timeoutMs + ANSWER_SLACK_MS && !overlaps(excuses.entry, exchange)) {
		breaches.push({promise: 'late-answer', detail: `${requestId} (${kind}) took ${Math.round(endedAt - sentAt)} ms`});
	}

	return breaches;
};
