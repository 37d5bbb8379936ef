/** Key of the head, which holds the document, its section revisions and its newest audit entries. */
export const HEAD_KEY = 'configuration/head';

/** Prefix of the archive keys, which hold older audit entries; the first revision in the archive follows it. */
export const ARCHIVE_PREFIX = 'configuration/audit/';

/** Maximum number of audit entries in the head; older ones move to an archive key. */
export const MAX_HEAD_EDITS = 64;

/** Audit entries moved to an archive key at once. Moving many at once lets most edits do with a single write. */
export const ARCHIVE_BATCH_ENTRIES = 32;

/** Largest value that the key-value service stores, in bytes. */
export const MAX_HEAD_BYTES = 1_000_000;

/** Time within which an edit is retried, in milliseconds. */
export const EDIT_TIME_LIMIT_MS = 15_000;

/** Range of the random pause before an edit is retried, in milliseconds. */
export const EDIT_RETRY_MIN_MS = 20;
export const EDIT_RETRY_MAX_MS = 1000;

/** Timeout of one call of the key-value service, in milliseconds. */
export const KEY_VALUE_CALL_TIMEOUT_MS = 3000;

/** Processes in each region that watch the head. With two, a frozen or disconnected watcher delays nothing. */
export const WATCHERS_PER_REGION = 2;

/** Time that one watch waits for a change, in milliseconds. It bounds the delay when the connections of all watches have gone silent. */
export const WATCH_TIMEOUT_MS = 4000;

/** Time past its timeout after which a watch that has not returned is abandoned and replaced, in milliseconds. */
export const WATCH_MARGIN_MS = 1000;

/** Peers that each process notifies of a new revision. */
export const ANNOUNCE_FANOUT = 4;

/** Period after which a process compares its revision with those in its member table, in milliseconds. */
export const CATCH_UP_PERIOD_MS = 500;

/** Peers asked in each round while a process starts without the key-value service. */
export const START_PEERS_PER_ROUND = 8;

/** Mean pause after the first round, in milliseconds. It grows with each round. */
export const START_PAUSE_MS = 500;

/** Upper bound of the mean pause between two rounds, in milliseconds. */
export const START_PAUSE_MAX_MS = 2000;

/** Timeout of a call to a peer, in milliseconds. */
export const PEER_CALL_TIMEOUT_MS = 2000;

/** Peers from which documents are fetched at the same time. With two, a silent peer does not block the fetch from another. */
export const MAX_CONCURRENT_FETCHES = 2;

/** Team that owns [owners] when no pattern covers it. */
export const DEFAULT_OWNERS_TEAM = 'owners';
