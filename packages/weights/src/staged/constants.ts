/** Interval at which the engine's report is read. */
export const REPORT_POLL_MS = 100;

/** Pause before a failed step is repeated. */
export const STEP_RETRY_MS = 250;

/** Time between telling the entries of a switch and ordering it, so that they send nothing that would wait. */
export const SWITCH_NOTICE_MS = 120;

/** Oldest verification of the staged pieces with which an order is sent. */
export const VERIFICATION_LIFE_MS = 1500;

/** Share of the engines that switch versions at the same time. */
export const SWITCHING_SHARE = 0.34;

/** Share of the bound on old versions after which an engine switches whatever the others do. */
export const LATEST_SWITCH_SHARE = 0.6;

/** Time after which an accepted order that had no effect is given up. */
export const LOAD_TIMEOUT_MS = 20_000;

/** Reads of the manifest before one with pieces that never verify is read again. */
export const MANIFEST_DOUBT_MS = 3000;

/** Share of the line rate that transfers use; the rest keeps stream events on time. */
export const TRANSFER_SHARE = 0.75;
