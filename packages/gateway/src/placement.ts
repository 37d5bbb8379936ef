/** What the placer is asked, what it answers, and what it needs. */
import type {PlacementRequirements, UpstreamView} from '@yuccawood/dispatch';
import type {UpstreamState} from './upstream-state.js';

export type PlacementRequest = {
	readonly service: string;
	readonly need: () => Omit<PlacementRequirements, 'usualStartMs'>;
	readonly account: string;
	readonly priority: number;

	/** Whether it may be served in some failure domains only. */
	readonly isConfined?: boolean;

	/** Monotonic times in milliseconds. */
	readonly goalAt: number;
	readonly deadlineAt: number;
	readonly returnRecognizedAt: number;
	readonly signal: AbortSignal;
};

export type PlacementResult<State extends UpstreamState = UpstreamState> =
	{readonly kind: 'placed'; readonly state: State; readonly load: number; readonly waitedMs: number}
	| {readonly kind: 'rejected'; readonly reason: string; readonly retryAfterMs: number; readonly waitedMs: number; readonly ahead: number}
	| {readonly kind: 'cancelled'};

/** Source of time for waiting requests. */
export interface PlacementClock {
	/** Monotonic milliseconds. */
	readonly monotonic: () => number;

	/** Calls the function after the time. @returns a function that cancels the call */
	readonly schedule: (milliseconds: number, call: () => void) => () => void;
}

/** {@link PlacementClock.schedule} with timers of the event loop. */
export const scheduleTimer: PlacementClock['schedule'] = (milliseconds, call) => {
	const timer = setTimeout(call, milliseconds);
	return () => {
		clearTimeout(timer);
	};
};

/** Upstreams of which the placer chooses. */
export interface PlacementStates<State extends UpstreamState> {
	readonly viewsOf: (service: string, now: number) => readonly UpstreamView[];
	readonly find: (key: string) => State | undefined;
}
