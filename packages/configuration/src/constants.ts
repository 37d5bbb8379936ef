/** Key of the document, its section revisions and its newest audit entries. */
export const HEAD_KEY = 'configuration/head';

/** Prefix of the keys that hold older audit entries, followed by the first revision of each. */
export const ARCHIVE_PREFIX = 'configuration/audit/';

/** Audit entries that the head may hold. */
export const MAX_HEAD_EDITS = 64;

/** Audit entries moved to an archive key at a time, so that most edits need one write. */
export const ARCHIVE_BATCH = 32;

/** Largest value of the key-value service, in bytes. */
export const MAX_HEAD_BYTES = 1_000_000;

/** Time within which an edit is retried, in milliseconds. */
export const EDIT_TIME_LIMIT_MS = 15_000;

/** Range of the random pause before an edit is retried, in milliseconds. */
export const EDIT_RETRY_MIN_MS = 20;
export const EDIT_RETRY_MAX_MS = 1000;

/** Time that one call of the key-value service may take, in milliseconds. */
export const KEY_VALUE_CALL_TIMEOUT_MS = 3000;

/** Processes in each region that watch the head. Two, so that one frozen or cut off watcher delays nothing. */
export const WATCHERS_PER_REGION = 2;

/** Time that one watch waits, in milliseconds. It bounds the delay when all watches have gone silent. */
export const WATCH_TIMEOUT_MS = 4000;

/** Time beyond its limit after which a watch counts as cut, in milliseconds. */
export const WATCH_MARGIN_MS = 1000;

/** Peers told of a new revision by each process. */
export const ANNOUNCE_FANOUT = 4;

/** Period in which a process compares its revision with its member table, in milliseconds. */
export const CATCH_UP_PERIOD_MS = 500;

/** Peers asked in each round of a start without the key-value service. */
export const START_PEERS = 8;

/** Mean pause after the first round of a start, in milliseconds. */
export const START_ROUND_MS = 500;

/** Longest mean pause between two rounds of a start, in milliseconds. */
export const START_ROUND_MAX_MS = 2000;

/** Time that a call to a peer may take, in milliseconds. */
export const PEER_CALL_TIMEOUT_MS = 2000;

/** Documents fetched at the same time, so that a silent sender does not hold up a second one. */
export const MAX_CONCURRENT_FETCHES = 2;

/** Team that owns [owners] when no pattern covers it. */
export const DEFAULT_OWNERS_TEAM = 'owners';
