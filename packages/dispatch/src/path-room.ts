/**
Decides whether a path to an upstream takes another send.

Load pattern: a link narrows or stands still under load. What is sent on piles up in its queue, and reaches the upstream after
the callers have left, or after the version that it was meant for has expired. Neither can be taken back, so little may be
under way until the path has shown that it delivers.
*/
import {MAX_PATH_SILENCE_MS, MIN_PATH_SILENCE_MS, PATH_SILENCE_FACTOR} from './constants.js';
import type {PlacementRequirements, UpstreamView} from './types.js';

type PathView = Pick<UpstreamView, 'underWay'>;
type PathRequirements = Pick<PlacementRequirements, 'usualStartMs' | 'answerGoalMs' | 'readDelayMs'>;

/** Time, in milliseconds, from which the silence of a path is no longer explained by the time that answers usually take. */
export const pathSilenceMs = ({usualStartMs, answerGoalMs = 0, readDelayMs = 0}: PathRequirements): number =>
	readDelayMs + Math.max(MIN_PATH_SILENCE_MS, Math.min(MAX_PATH_SILENCE_MS, usualStartMs * PATH_SILENCE_FACTOR), answerGoalMs);

/** Whether nothing has shown for too long that the path delivers what was written, or it did so too late. */
export const isPathSilent = ({underWay: {oldestMs, windowBytes}}: PathView, requirements: PathRequirements): boolean =>
	windowBytes === 0 || oldestMs > pathSilenceMs(requirements);

/** Whether something may be sent now. On a silent path without probes single requests are, at growing intervals. */
export const hasPathRoom = (view: PathView, requirements: PathRequirements): boolean => {
	const {sends, bytes, oldestMs, newestMs, windowBytes, isProbed} = view.underWay;
	if (windowBytes === 0) {
		return false;
	}

	if (sends === 0) {
		return true;
	}

	return isPathSilent(view, requirements) ? !isProbed && newestMs >= Math.max(pathSilenceMs(requirements), oldestMs / 2) : bytes < windowBytes;
};
