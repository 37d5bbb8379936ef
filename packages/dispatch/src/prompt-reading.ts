/**
Estimates how long an engine reads prompts before it can start a new request.

An engine reads prompts one after the other, so the slots of an engine that has just become available can't all be filled at
once: the last of the requests would miss its latency goal while it waits for the prompts before it.
*/
import type {EngineProfile} from '@yuccawood/fleet';
import type {PromptReading, UpstreamView} from './types.js';

/**
Prompt tokens that an engine with full slots reads per millisecond. It alternates between a part of the prompts and the
token steps of one pass.
*/
export const readingTokensPerMs = ({prefillTokensPerSecond, prefillTokensPerPass, stepsPerPass, stepMs, stepMsPerRequest, slots}: EngineProfile): number => {
	const tokensPerMs = prefillTokensPerSecond / 1000;
	const passMs = stepsPerPass * (stepMs + (stepMsPerRequest * slots));
	return 1 / ((1 / tokensPerMs) + (passMs / prefillTokensPerPass));
};

/** Tokens of the unread prompts of all entries, as many more as the engine is slower than others. */
const weightedUnreadTokens = ({unreadTokens, sharingEntries, pace}: UpstreamView): number => unreadTokens * sharingEntries * Math.max(1, pace);

/**
Whether the engine reads the unread prompts of all entries, and then that of the request, within the limit. An engine
without unread prompts always does.
*/
export const canReadInTime = (view: UpstreamView, {promptTokens, tokensPerMs, limitMs}: PromptReading): boolean =>
	view.unreadTokens === 0 || (weightedUnreadTokens(view) + (promptTokens * Math.max(1, view.pace))) / tokensPerMs <= limitMs;

/** The engine that has read its prompts first; undefined if there is none. */
export const firstToRead = (views: readonly UpstreamView[]): UpstreamView | undefined => {
	let first: UpstreamView | undefined;
	for (const view of views) {
		if (!first || weightedUnreadTokens(view) < weightedUnreadTokens(first)) {
			first = view;
		}
	}

	return first;
};
