/** Time before the first decision and after the last one from which other lines are shown, in milliseconds. */
export const BEFORE_MS = 10_000;
export const AFTER_MS = 1000;

/** Other lines that are shown at most, the latest ones: the story stays readable in a storm. */
export const MAX_SURROUNDINGS = 60;
