/** Exit code for invalid settings or a misconfigured process (EX_CONFIG of sysexits). */
export const EXIT_CONFIGURATION = 78;

/** Largest body of a JSON-RPC message, in bytes. A configuration document is at most one megabyte. */
export const MAX_RPC_BODY_BYTES = 4 * 1024 * 1024;

/** Largest answer to a JSON-RPC call, in bytes. It may hold all that a peer knows. */
export const MAX_RPC_ANSWER_BYTES = 16 * 1024 * 1024;

/** Time that a JSON-RPC call may take when its caller names no other limit. */
export const DEFAULT_RPC_TIMEOUT_MS = 2000;

/** Connections kept to one peer. Calls over a fresh connection do not use them. */
export const CONNECTIONS_PER_PEER = 2;

/** Time that a closing peer server gives answers that are being written. Held requests of peers are cut after it. */
export const CLOSE_GRACE_MS = 300;
