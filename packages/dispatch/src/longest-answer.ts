/** Longest time that an engine's published costs allow for an answer. */
import type {EngineProfile} from '@yuccawood/fleet';

/**
Time in milliseconds from the send to the last event, at an engine whose slots are full and that reads as many prompt tokens
between two passes as it may. Such an engine may have the prompts of all its slots to read first.

@param answerTokens largest number of tokens of the answer
*/
export const longestAnswerMs = ({slots, stepMs, stepMsPerRequest, stepsPerPass, prefillTokensPerSecond, prefillTokensPerPass, usualPromptTokens}: EngineProfile, {promptTokens = usualPromptTokens, answerTokens}: {
	readonly promptTokens: number | undefined;
	readonly answerTokens: number;
}): number => {
	const tokensPerMs = prefillTokensPerSecond / 1000;
	const unreadTokens = promptTokens + (usualPromptTokens * slots);
	const stepsMs = stepsPerPass * (stepMs + (stepMsPerRequest * slots));
	const passes = Math.ceil(answerTokens / stepsPerPass);
	const readMs = Math.min(prefillTokensPerPass, unreadTokens) / tokensPerMs;
	return (unreadTokens / tokensPerMs) + (passes * (stepsMs + readMs));
};
