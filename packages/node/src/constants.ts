/** Time limit of a call to the platform's store. It answers in milliseconds; a lost answer must not delay a belief. */
export const STORE_TIMEOUT_MS = 1200;
export const WATCH_SLACK_MS = 1500;

/** Time limit of a call to the engine on the same VM. */
export const ENGINE_TIMEOUT_MS = 1500;

/** Time without data after which a read from the origin fails. */
export const ORIGIN_TIMEOUT_MS = 4000;

/** Connections of one agent to the origin, which resets those beyond its own limit. */
export const ORIGIN_CONNECTIONS = 1;

/** Lease of an entry's presence and the interval of its renewals. */
export const ENTRY_LEASE_MS = 10_000;
export const ENTRY_LEASE_RENEWAL_MS = 3000;

/** Lease of a shared crash count. */
export const CRASH_COUNT_LEASE_MS = 600_000;

/** Time after SIGTERM for which an entry still accepts connections: the balancer takes it out after two misses at 1 s each. */
export const ACCEPT_AFTER_SIGTERM_MS = 2600;

/** Time before SIGKILL at which a stopping process gives up what is left. */
export const STOP_MARGIN_MS = 400;

/** Interval at which a stopping entry looks whether it is idle. */
export const IDLE_CHECK_MS = 50;

/** Interval of the look at the settings file, which may change without a signal. */
export const SETTINGS_CHECK_MS = 5000;

/** Interval at which an agent looks whether a rollout needs the list of upstreams. */
export const LIST_NEED_CHECK_MS = 100;

/** Longest wait of one watch of the list, and the pauses after an answer and after a failure. */
export const LIST_WATCH_TIMEOUT_MS = 3000;
export const LIST_WATCH_PAUSE_MS = 4000;
export const LIST_RETRY_PAUSE_MS = 300;

/** Longest wait for any list before the digests of a version are read. */
export const LIST_TIMEOUT_MS = 1500;

/** Version of the weights that upstreams hold before the operators name one. */
export const FIRST_VERSION = 1;

/** Longest wait for the entry of a started engine in the list, and the pause between watches until then. */
export const OWN_ENTRY_TIMEOUT_MS = 1500;
export const OWN_ENTRY_PAUSE_MS = 150;

/** Interval at which an agent without the directory of engines reads it, and stale reads before a fresh one. */
export const DIRECTORY_FIRST_READ_INTERVAL_MS = 500;
export const MAX_EMPTY_STALE_READS = 2;

/** Interval at which it is read again during a rollout. */
export const DIRECTORY_REFRESH_INTERVAL_MS = 2000;

/** Least time between two fresh reads of the directory after signs of a change. */
export const FRESH_READ_INTERVAL_MS = 2000;

/** Longest wait for the directory before an order, which goes by the last one known then. */
export const DIRECTORY_READ_TIMEOUT_MS = 300;

/** Least time without a directory after which an agent reads the configuration; up to twice that, so that not all do at once. */
export const MIN_WAIT_BEFORE_CONFIGURATION_MS = 4000;

/** Interval at which an entry compares the directory with the configuration, and the spread of the writes of all entries. */
export const DIRECTORY_COMPARE_INTERVAL_MS = 100;
export const DIRECTORY_WRITE_JITTER_MS = 400;

/** Pause after a write of the directory, in which the watch delivers it. */
export const DIRECTORY_WRITE_RETRY_MS = 1000;

/** Peers that are asked for the age of a version. */
export const MAX_PEERS_ASKED_FOR_AGES = 10;

/** Peers that must have followed the versions before, so that what they know replaces a cautious assumption. */
export const MIN_AGE_OBSERVERS = 3;

/** Questions until enough of them know of the version, and the pause between two. */
export const MAX_AGE_ROUNDS = 4;
export const AGE_ROUND_PAUSE_MS = 500;
