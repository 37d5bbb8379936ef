/** Path of the feed on an agent's peer address. */
export const FEED_PATH = '/reports';

/** Interval of reports while the state does not change. A reader drops a connection after three missing heartbeats. */
export const HEARTBEAT_INTERVAL_MS = 1000;
export const FEED_TIMEOUT_MS = 3000;

/** Bytes that may be buffered for a slow reader before its connection is closed. */
export const MAX_BUFFERED_BYTES = 16 * 1024;

/** Longest line of a feed. A report takes a few hundred characters. */
export const MAX_LINE_CHARACTERS = 16 * 1024;

/** Bounds of the pause before reconnecting to an agent. */
export const MIN_RECONNECT_PAUSE_MS = 250;
export const MAX_RECONNECT_PAUSE_MS = 1000;
export const CONNECT_TIMEOUT_MS = 800;
