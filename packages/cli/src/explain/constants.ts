/** Time before the first decision, and after the last one, within which other related lines are shown, in milliseconds. */
export const CONTEXT_BEFORE_MS = 10_000;
export const CONTEXT_AFTER_MS = 1000;

/** Maximum number of other related lines. The latest ones are shown, so that the output stays readable when much is logged. */
export const MAX_CONTEXT_LINES = 60;
