/**
Decides how long an upstream may be silent before a request is sent again elsewhere.

Load pattern: after all processes restart, every engine is full and has requests waiting. Their silence is explained by that
load. Requests that are sent again for it make full engines fuller, and the overload sustains itself.
*/
import type {EngineProfile} from '@yuccawood/fleet';
import {estimateLoad} from './choose-upstream.js';
import {SILENCE_START_FACTOR} from './constants.js';
import {readingTokensPerMs} from './prompt-reading.js';
import type {UpstreamView} from './types.js';

/** Expected time, in milliseconds, from a send to the first data, by the load of the engine and its unread prompts. */
export const expectedStartMs = (view: UpstreamView, {usualStartMs, engine}: {readonly usualStartMs: number; readonly engine: EngineProfile}): number => {
	const {usualPromptTokens, usualAnswerTokens, stepMs, stepMsPerRequest, slots} = engine;
	const tokensPerMs = readingTokensPerMs(engine);
	const requestMs = (usualPromptTokens / tokensPerMs) + (usualAnswerTokens * (stepMs + (stepMsPerRequest * slots)));
	const waiting = Math.max(0, estimateLoad(view) - view.slots);
	const delayMs = (waiting * requestMs / view.slots) + (view.unreadTokens / tokensPerMs);
	return Math.max(usualStartMs, view.startMs ?? 0) + (delayMs * Math.max(1, view.pace));
};

/**
@param baseMs limit for an upstream with a usual load, in milliseconds
@returns time without data, in milliseconds, from which the upstream counts as silent
*/
export const silenceLimitMs = (baseMs: number, view: UpstreamView, {usualStartMs, engine}: {readonly usualStartMs: number; readonly engine: EngineProfile | undefined}): number =>
	engine ? Math.max(baseMs, expectedStartMs(view, {usualStartMs, engine}) * SILENCE_START_FACTOR) : baseMs;
