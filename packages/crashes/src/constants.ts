/** Crashes of distinct upstreams, without a success since, from which a suspect is blocked. */
export const MIN_CRASHES = 3;

/** The same while most other entries have told nothing and this one has not observed for {@link MIN_OBSERVATION_MS}. */
export const MIN_CRASHES_UNCONFIRMED = 5;

/** Time after which an entry has seen answers on the parts that many prompts share. */
export const MIN_OBSERVATION_MS = 10_000;

/** Depth of a whole request among suspects. */
export const WHOLE_REQUEST_DEPTH = Number.MAX_SAFE_INTEGER;

/** Crashes within this time may have a common cause, such as a failed network or failure domain. */
export const SIMULTANEOUS_MS = 300;

/** A suspect with a success this shortly before several simultaneous crashes was probably present at them by chance. */
export const RECENT_SUCCESS_MS = 10_000;

/** Time for which a crash counts. */
export const CRASH_LIFETIME_MS = 600_000;

/** Data that arrives this long after the break of a connection shows that the upstream did not crash. Earlier data may have been on its way. */
export const SIGN_OF_LIFE_MS = 50;

/** Time limit of a call to another entry about a crash. Requests go on to reach upstreams meanwhile. */
export const PEER_TIMEOUT_MS = 400;

/** Number of times that another entry is told of a crash or a success until it answers. */
export const MAX_TELL_ATTEMPTS = 2;

/** Bounds of memory. */
export const MAX_CRASHES = 200;
export const MAX_SUSPECTS_PER_CRASH = 256;
export const MAX_SUCCESSES = 4096;
export const MAX_BLOCKS = 1000;

/** Time for which a suspect is blocked after its latest crash. */
export const BLOCK_MS = 600_000;

/** Time until a blocked suspect is tried again by one entry: after the crashes that led to the block, and after a trial that ended in a crash. */
export const FIRST_TRIAL_MS = 60_000;
export const NEXT_TRIAL_MS = 540_000;

/** Rounds of questions to other entries in one review. A better explanation may come up in each. */
export const MAX_ENQUIRIES = 4;
