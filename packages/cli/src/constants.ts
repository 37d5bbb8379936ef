import {CONFIGURATION_EXIT_CODE} from '@yuccawood/common';

/** Exit codes of `yuccawood`. */
export const EXIT_CODES = {
	done: 0,

	/** The action failed and had no effect. */
	failure: 1,

	/** The command line is wrong. */
	usage: 2,

	/** The document would have faults; nothing was written. */
	faults: 3,

	/** The section changed meanwhile; nothing was written. */
	conflict: 4,

	/** The team does not own the section; nothing was written. */
	notOwner: 5,

	/** A time limit passed; the message says whether an edit may have been made. */
	timeout: 6,

	/** The settings file has faults. */
	settings: CONFIGURATION_EXIT_CODE,
} as const;

/** Default time limit of an action, in seconds. */
export const DEFAULT_TIMEOUT_SECONDS = 15;

/** Default time limit of `status --wait`, in seconds. */
export const DEFAULT_WAIT_SECONDS = 60;

/** Time limit of a read whose result is optional, in seconds. */
export const SHORT_READ_SECONDS = 2;

/** Pause between two requests for a report in `status --wait`, in milliseconds. */
export const STATUS_POLL_MS = 250;

/** Unchanged lines shown before and after a difference. */
export const CONTEXT_LINES = 3;
