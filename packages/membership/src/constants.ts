/** Time between two pings that one process sends. */
export const PERIOD_MS = 1000;

/** Timeout of a direct ping. */
export const PING_TIMEOUT_MS = 500;

/** Timeout of an indirect ping. It includes the intermediary's direct ping. */
export const INDIRECT_PING_TIMEOUT_MS = 1000;

/** Number of members that are asked for an indirect ping when a direct ping fails. */
export const INDIRECT_PING_COUNT = 2;

/** Periods for which a member stays suspect in a cluster of up to ten members. With more, it is multiplied by the decimal logarithm of their number. */
export const SUSPICION_PERIODS = 3;

/** Most bytes of requested records and claims in one message. A single larger record is still sent, alone. */
export const MESSAGE_BYTES = 8192;

/** Average rate at which a process sends member records. It keeps the control traffic of a process below 9 KB/s. */
export const RECORD_BYTES_PER_SECOND = 1600;

/** Bytes of records that a process may send in a burst, so that many processes that start together learn of each other quickly. */
export const RECORD_BURST_BYTES = 64 * 1024;

/** Claims for comparison with the peer in each message. */
export const COMPARED_CLAIMS_PER_MESSAGE = 4;

/** Claims for comparison in a message after the tables of the two processes were found to differ. Those above `COMPARED_CLAIMS_PER_MESSAGE` are charged to the byte budget. */
export const MAX_CLAIMS_WHILE_TABLES_DIFFER = 32;

/** Most claims about changed members in one message. */
export const MAX_CHANGES_PER_MESSAGE = 32;

/** Claims about changed members that a message may contain even if the byte budget is used up. Those about members that are not alive come first. */
export const MIN_CHANGES_PER_MESSAGE = 8;

/** Most records that one message requests. */
export const MAX_WANTS_PER_MESSAGE = 20;

/** Most missing records that a process tracks. Others are added when a later message mentions them. */
export const MAX_MISSING_RECORDS = 2000;

/** Time for which a process requests a missing record after a peer last mentioned the member. */
export const MISSING_RECORD_RETENTION_MS = 30_000;

/** Part of the byte budget that is reserved for records that peers request. Below it, early exchanges and additional claims for comparison stop. */
export const REPLY_RESERVE_BYTES = 16 * 1024;

/** Time between two checks for unsent changes, as a fraction of the ping period. If there are any, one more member is contacted. */
export const EARLY_EXCHANGE_PERIOD_FRACTION = 0.25;

/** Number of times that a change is sent, for each decimal digit of the number of members. */
export const TRANSMISSIONS_PER_DIGIT = 2;

/** Bytes of records after which a page of the table ends. Starting processes read the table in pages. */
export const PAGE_BYTES = 16_384;

/** Timeout of a request for a page of the table. */
export const PAGE_TIMEOUT_MS = 2000;

/** Time after which the record of a dead member is dropped. Its version is kept longer, in a tombstone. */
export const DEAD_RETENTION_MS = 60_000;

/** Time for which a tombstone rejects older records of a dead member. */
export const TOMBSTONE_RETENTION_MS = 24 * 3600 * 1000;

/** Time for which a process still tries to reach the addresses of dead members. Must be longer than a network partition of an hour. */
export const LOST_ADDRESS_RETRY_MS = 2 * 3600 * 1000;

/** Most tombstones that a process keeps; the oldest are evicted first. */
export const MAX_TOMBSTONES = 10_000;

/** Mean time between two attempts to reach a seed or a lost member that is not in the table. */
export const RECONNECT_PERIOD_MS = 10_000;

/** Most concurrent calls while a starting or leaving process notifies all entries. */
export const MAX_CONCURRENT_NOTICES = 64;

/** Timeout of one leave notice. */
export const NOTICE_TIMEOUT_MS = 1000;

/** Time between two reads of the platform's VM list by one reader. */
export const VM_LIST_PERIOD_MS = 1000;

/** Longest time for which the VM list may lag behind and still describe an earlier process of a VM as leaving. */
export const VM_LIST_LAG_MS = 30_000;

/** Number of members in each region that read the VM list. */
export const VM_LIST_READERS_PER_REGION = 2;

/** Duration for which the upstream lease is requested. */
export const LEASE_TTL_MS = 10_000;

/** Number of renewals within one lease duration. */
export const RENEWALS_PER_TTL = 3;

/** No order starts within this time before the lease expires, so that an order in progress ends before the expiry. */
export const ORDER_MARGIN_MS = 1000;

/** Timeout of one lease call to the key-value service. */
export const LEASE_CALL_TIMEOUT_MS = 2000;

/** Average rate at which a process serves pages of its table. */
export const PAGE_BYTES_PER_SECOND = 2048;

/** Bytes of pages that a process may serve in a burst: the table of about 1,000 members. */
export const PAGE_BURST_BYTES = 512 * 1024;

/** Delay before the next request after a member has refused a page as busy. */
export const PAGE_RETRY_DELAY_MS = 200;

/** Number of failed or refused page requests after which a starting process continues with an incomplete table. */
export const MAX_PAGE_FAILURES = 10;

/** Number of members that an ending process notifies of its end. They spread it by gossip. */
export const DEPARTURE_NOTICE_COUNT = 3;

/** Bytes that an early exchange uses apart from its changes. They are charged to the byte budget. */
export const EXCHANGE_OVERHEAD_BYTES = 800;
