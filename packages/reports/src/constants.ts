/** Path of the feed on an agent's peer address. */
export const FEED_PATH = '/reports';

/** Interval of reports without a change; a reader takes three missing ones as a broken connection. */
export const HEARTBEAT_INTERVAL_MS = 1000;
export const FEED_TIMEOUT_MS = 3000;

/** Bytes that may wait for a slow reader before its connection is cut. */
export const MAX_BUFFERED_BYTES = 16 * 1024;

/** Longest line of a feed; a report takes a few hundred characters. */
export const MAX_LINE_CHARACTERS = 16 * 1024;

/** First and longest pause before an agent is called again. */
export const MIN_RECONNECT_PAUSE_MS = 250;
export const MAX_RECONNECT_PAUSE_MS = 1000;
export const CONNECT_TIMEOUT_MS = 800;
