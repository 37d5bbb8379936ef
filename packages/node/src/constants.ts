/** Time limit of a call to the platform's store, which usually answers within milliseconds. A lost answer must not delay updates of the observed state. */
export const STORE_TIMEOUT_MS = 1200;

/** Interval of the checks that an entry still hears from the store, as a fraction of the shortest bound of a change. */
export const CHECK_INTERVAL_FRACTION = 0.5;

/** Time added to the wait of a watch before the call counts as failed. */
export const WATCH_SLACK_MS = 1500;

/** Time limit of a call to the engine on the same VM. */
export const ENGINE_TIMEOUT_MS = 1500;

/** Time without data after which a read from the origin fails. */
export const ORIGIN_TIMEOUT_MS = 4000;

/** Connections of one agent to the origin, which resets those beyond its own limit. */
export const ORIGIN_CONNECTIONS = 1;

/** Lease of an entry in the store's list of entries, and the interval of its renewals. */
export const ENTRY_LEASE_MS = 10_000;
export const ENTRY_LEASE_RENEWAL_MS = 3000;

/** Lease of a crash count that is shared through the store. */
export const CRASH_COUNT_LEASE_MS = 600_000;

/** Longest random delay of the write of a crash count, the number of attempts, and the pause after a failure. */
export const CRASH_WRITE_JITTER_MS = 400;
export const CRASH_WRITE_ATTEMPTS = 20;
export const CRASH_WRITE_PAUSE_MS = 1000;

/** Time after SIGTERM for which an entry still accepts connections: the load balancer removes it after two failed readiness checks, which are 1 s apart. */
export const ACCEPT_AFTER_SIGTERM_MS = 2600;

/**
Time after SIGTERM until which an entry counts as ready while it is the only one that can: the latest that leaves time for the
connections that the load balancer still sends. The shorter limit holds where another entry may do the same: two failed checks
then come within 4 s of SIGTERM, also if each comes a quarter of a second late.
*/
export const MAX_READY_WHEN_ALONE_MS = 3500;
export const MAX_READY_WHEN_UNSURE_MS = 1500;

/** Time between two stops below which they count as simultaneous. */
export const SIMULTANEOUS_STOPS_MS = 500;

/** Time limit of a call that shows whether the path to a VM delivers. */
export const PATH_ECHO_TIMEOUT_MS = 1000;

/**
Lease of the claim to stay ready, the longest that the store grants. The platform counts the entries that stayed on over all rolls
of a day, so a roll that follows soon must not have its own.
*/
export const HANDOVER_CLAIM_MS = 600_000;

/** Interval at which a stopping entry asks whether another one is ready, and the time limit of a call. */
export const READINESS_ASK_INTERVAL_MS = 150;
export const READINESS_CALL_TIMEOUT_MS = 300;

/** Entries that are asked at once, and the time until the next ones are asked while none has settled the question. */
export const READINESS_GROUP_SIZE = 6;
export const READINESS_GROUP_INTERVAL_MS = 50;

/** Time before the last answers at which a stopping entry stops listening, so that no connection is cut that was accepted last. */
export const LAST_ACCEPTS_MS = 800;

/**
Time before the last answers at which a stopping entry stops listening even if connections wait to be accepted. The kernel resets
those, while accepted ones get an answer or a refusal.
*/
export const LAST_REFUSALS_MS = 100;

/** Time without a connection after which a stopping entry that no other has replaced stops listening. */
export const UNUSED_STOP_MS = 1000;

/** Time before SIGKILL at which a stopping entry closes the connections of the remaining requests. */
export const STOP_MARGIN_MS = 400;

/** Time before the connections are closed in which a stopping entry ends the last requests and writes their answers. */
export const FINAL_ANSWERS_MS = 200;

/** Interval at which a stopping entry checks whether all connections have been closed. */
export const IDLE_CHECK_MS = 50;

/** Interval at which the settings file is read again, because it may change without a SIGHUP. */
export const SETTINGS_CHECK_MS = 5000;

/** Interval at which an agent checks whether a rollout needs the list of upstreams. */
export const LIST_NEED_CHECK_MS = 100;

/** Time limit of one watch of the list of upstreams, and the pauses after a success and after a failure. */
export const LIST_WATCH_TIMEOUT_MS = 3000;
export const LIST_WATCH_PAUSE_MS = 4000;
export const LIST_RETRY_PAUSE_MS = 300;

/** Time limit for waiting until any list of upstreams is known, before the digests of a version are read. */
export const LIST_TIMEOUT_MS = 1500;

/** Version of the weights that upstreams hold before the operators set a target version. */
export const FIRST_VERSION = 1;

/** Time limit for waiting until a started engine appears in the list of upstreams, and the pause between watches until then. */
export const OWN_ENTRY_TIMEOUT_MS = 1500;
export const OWN_ENTRY_PAUSE_MS = 150;

/** Interval at which an agent tries to read the directory of engines until it has it, and the number of stale reads before it uses fresh ones. */
export const DIRECTORY_FIRST_READ_INTERVAL_MS = 500;
export const MAX_EMPTY_STALE_READS = 2;

/** Interval at which the directory is read again during a rollout. */
export const DIRECTORY_REFRESH_INTERVAL_MS = 2000;

/** Minimum time between two fresh reads of the directory after signs that it has changed. */
export const FRESH_READ_INTERVAL_MS = 2000;

/** Time limit for refreshing the directory before a switch is ordered. After it, the last known directory is used. */
export const DIRECTORY_READ_TIMEOUT_MS = 300;

/** Minimum time without a directory after which an agent reads the configuration instead. Each agent waits up to twice as long, so that they do not all read it at once. */
export const MIN_WAIT_BEFORE_CONFIGURATION_MS = 4000;

/** Interval at which an entry compares the directory with the configuration, and the longest random delay of its write, which spreads the writes of all entries. */
export const DIRECTORY_COMPARE_INTERVAL_MS = 100;
export const DIRECTORY_WRITE_JITTER_MS = 400;

/** Pause after a write of the directory, during which the store's watch delivers the new value. */
export const DIRECTORY_WRITE_RETRY_MS = 1000;

/** Number of peers of each group that are asked how long they have known a version. */
export const MAX_PEERS_ASKED_FOR_AGES = 10;

/** Number of peers for which the store must have been unreachable until they learned of a version, so that its bound counts from then. */
export const MIN_AGE_OBSERVERS = 3;

/** Number of times that peers are asked until enough of them know the version, and the pause between two. */
export const MAX_AGE_ROUNDS = 4;
export const AGE_ROUND_PAUSE_MS = 500;
