/** Names of the headers between entry and agent, and the filters for headers that pass through. */
export const REQUEST_ID = 'yuccawood-request-id';
export const VM = 'yuccawood-vm';
export const INCARNATION = 'yuccawood-incarnation';
export const DEADLINE_MS = 'yuccawood-deadline-ms';
export const ACCOUNT = 'yuccawood-account';
export const PRIORITY = 'yuccawood-priority';
export const FINGERPRINT = 'yuccawood-fingerprint';
export const VERSION = 'yuccawood-version';
export const REPEATABLE = 'yuccawood-repeatable';
export const MODEL = 'yuccawood-model';
export const SUSPECT = 'yuccawood-suspect';
export const LOAD = 'yuccawood-load';
export const OUTCOME = 'yuccawood-outcome';
export const REASON = 'yuccawood-reason';
export const DEATH = 'yuccawood-death';
export const DEATH_FINGERPRINTS = 'yuccawood-death-fingerprints';

const OWN_PREFIX = 'yuccawood-';

/** Headers that belong to one connection, and those that each hop sets itself. */
const HOP_HEADERS: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'host',
	'expect',
]);

const REQUEST_HEADERS_DROPPED: ReadonlySet<string> = new Set([...HOP_HEADERS, 'content-length', 'authorization', 'x-request-id', 'priority']);

const namedByConnection = (value: string | undefined): ReadonlySet<string> | undefined => {
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return undefined;
	}

	return new Set(value.toLowerCase().split(',').map(name => name.trim()));
};

/** Appends the request headers that pass through to a flat list of names and values. */
export const appendRequestHeaders = (target: string[], rawHeaders: readonly string[], connection: string | undefined): void => {
	const named = namedByConnection(connection);
	for (let i = 0; i < rawHeaders.length; i += 2) {
		const name = rawHeaders[i].toLowerCase();
		if (REQUEST_HEADERS_DROPPED.has(name) || name.startsWith(OWN_PREFIX) || named?.has(name)) {
			continue;
		}

		target.push(name, rawHeaders[i + 1]);
	}
};

export type ResponseHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Appends the response headers that pass through to a flat list of names and values. */
export const appendResponseHeaders = (target: string[], headers: ResponseHeaders): void => {
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value === undefined || HOP_HEADERS.has(name) || name.startsWith(OWN_PREFIX)) {
			continue;
		}

		if (typeof value === 'string') {
			target.push(name, value);
			continue;
		}

		for (const item of value) {
			target.push(name, item);
		}
	}
};

/** Value of a header that may occur once. */
export const single = (value: string | readonly string[] | undefined): string | undefined => typeof value === 'string' ? value : value?.[0];
