/** Exit code for invalid settings or a misconfigured process (`EX_CONFIG` in sysexits.h). */
export const CONFIGURATION_EXIT_CODE = 78;

/** Largest body of a JSON-RPC request that a peer server accepts, in bytes. Leaves room for a configuration document, which is at most one megabyte. */
export const MAX_RPC_REQUEST_BYTES = 4 * 1024 * 1024;

/** Largest body of a JSON-RPC response that a peer client accepts, in bytes. A response may carry the whole state that a peer holds. */
export const MAX_RPC_RESPONSE_BYTES = 16 * 1024 * 1024;

/** Default timeout of a JSON-RPC call. */
export const DEFAULT_RPC_TIMEOUT_MS = 2000;

/** Maximum number of pooled connections to one peer. Calls with the option `useNewConnection` open a connection outside the pool. */
export const MAX_CONNECTIONS_PER_PEER = 2;

/** Time that a closing peer server waits for open requests to finish. Connections that are still open after it, such as long polls of peers, are destroyed. */
export const PEER_CLOSE_GRACE_MS = 300;
