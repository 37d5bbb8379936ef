/** Time between two pings of one process. */
export const PERIOD_MS = 1000;

/** Time that a direct ping may take. */
export const PING_TIMEOUT_MS = 500;

/** Time that a ping through another member may take, its own direct ping included. */
export const INDIRECT_PING_TIMEOUT_MS = 1000;

/** Members asked to ping on this process's behalf when a direct ping fails. */
export const INDIRECT_PINGS = 2;

/** Periods for which a member stays suspect in a cluster of up to ten; more members add to it by their logarithm. */
export const SUSPICION_PERIODS = 3;

/** Bytes of records and claims in one message; a single record above it still goes out alone. */
export const MESSAGE_BYTES = 8192;

/** Bytes of member records that a process sends per second on average. Keeps control traffic below 9 KB/s. */
export const RECORD_BYTES_PER_SECOND = 1600;

/** Bytes of records that may go out at once after a quiet time, so that many processes that start together find each other quickly. */
export const RECORD_BURST_BYTES = 64 * 1024;

/** Versions of known members compared with the peer in each message. */
export const CLAIMS_PER_MESSAGE = 4;

/** The same while the tables of the two processes differ; the surplus is charged to the byte budget. */
export const CLAIMS_WHILE_DIFFERENT = 32;

/** Versions of changed members in one message at most. */
export const MAX_CHANGES_PER_MESSAGE = 32;

/** Versions of changed members that a message may hold even when the byte budget is used up, urgent ones first. */
export const MIN_CHANGES_PER_MESSAGE = 8;

/** Records that one message asks for at most. */
export const MAX_WANTS_PER_MESSAGE = 20;

/** Records that a process may miss at once; further ones are noticed again later. */
export const MAX_WANTED_RECORDS = 2000;

/** Time for which a process asks for a record after the last mention of its member. */
export const WANTED_RETENTION_MS = 30_000;

/** Part of the byte budget that is kept for records that peers ask for; early exchanges and wider comparisons stop at it. */
export const RESERVE_BYTES = 16 * 1024;

/** Part of the period after which a process with unsent changes contacts another member. */
export const EARLY_EXCHANGE_FACTOR = 0.25;

/** Times that a change is sent, for each decimal digit of the number of members. */
export const TRANSMITS_PER_DIGIT = 2;

/** Bytes of records in one page of the table that a starting process reads. */
export const PAGE_BYTES = 16_384;

/** Time that a page of the table may take. */
export const PAGE_TIMEOUT_MS = 2000;

/** Time after which a dead member's record is dropped; its version is kept as a tombstone. */
export const DEAD_RETENTION_MS = 60_000;

/** Time for which a tombstone keeps older records of the member out. */
export const TOMBSTONE_RETENTION_MS = 24 * 3600 * 1000;

/** Time for which the addresses of dead members are still tried. Longer than a network partition of an hour. */
export const RETRY_ADDRESSES_MS = 2 * 3600 * 1000;

export const MAX_TOMBSTONES = 10_000;

/** Time between two attempts to reach a seed or a lost member that is not in the table. */
export const RECONNECT_PERIOD_MS = 10_000;

/** Calls in progress at once while a starting or leaving process tells all entries. */
export const NOTICE_CALLS_AT_ONCE = 64;

export const NOTICE_TIMEOUT_MS = 1000;

/** Time between two reads of the platform's VM list. */
export const VM_LIST_PERIOD_MS = 1000;

/** Time for which the VM list may still describe an earlier process of a VM as leaving. */
export const VM_LIST_LAG_MS = 30_000;

/** Members of each region that read the VM list. */
export const VM_LIST_READERS_PER_REGION = 2;

/** Time for which the upstream lease is granted. */
export const LEASE_TTL_MS = 10_000;

/** Renewals in one lease time. */
export const RENEWALS_PER_TTL = 3;

/** Time before the end of the lease after which no order starts, so that an order under way ends within the lease. */
export const ORDER_MARGIN_MS = 1000;

/** Time that one call of the lease to the key-value service may take. */
export const LEASE_CALL_TIMEOUT_MS = 2000;

/** Bytes of pages that a process serves per second on average. */
export const PAGE_BYTES_PER_SECOND = 2048;

/** Bytes of pages that a process serves at once after a quiet time: the table of about 1,000 members. */
export const PAGE_BURST_BYTES = 512 * 1024;

export const PAGE_RETRY_MS = 200;

/** Failed or refused pages after which a starting process goes on with what it has. */
export const PAGE_ATTEMPTS = 10;

/** Members told directly that a process has ended; they spread it by gossip. */
export const DEPARTURE_NOTICES = 3;

/** Bytes that an early exchange costs without its changes; charged to the byte budget. */
export const EXCHANGE_OVERHEAD_BYTES = 800;
