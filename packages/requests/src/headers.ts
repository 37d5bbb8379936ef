/** Names of the headers between entries and agents, and filters for the headers that are passed through. */
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
export const DEATH_ID = 'yuccawood-death';
export const DEATH_FINGERPRINTS = 'yuccawood-death-fingerprints';

/** Headers with this prefix are set by entries and agents only, and never passed through. */
const OWN_PREFIX = 'yuccawood-';

/** Headers that apply to one connection (RFC 9110, section 7.6.1), and headers that each hop sets itself. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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

const REMOVED_REQUEST_HEADERS: ReadonlySet<string> = new Set([...HOP_BY_HOP_HEADERS, 'content-length', 'authorization', 'x-request-id', 'priority']);

/** Names of further hop-by-hop headers listed in a `connection` header. */
const parseConnectionHeader = (value: string | undefined): ReadonlySet<string> | undefined => {
	if (value === undefined || value === 'keep-alive' || value === 'close') {
		return undefined;
	}

	return new Set(value.toLowerCase().split(',').map(name => name.trim()));
};

/** Appends the request headers that are passed through to a list of alternating names and values. */
export const appendRequestHeaders = (list: string[], rawHeaders: readonly string[], connection: string | undefined): void => {
	const connectionHeaders = parseConnectionHeader(connection);
	for (let i = 0; i < rawHeaders.length; i += 2) {
		const name = rawHeaders[i].toLowerCase();
		if (REMOVED_REQUEST_HEADERS.has(name) || name.startsWith(OWN_PREFIX) || connectionHeaders?.has(name)) {
			continue;
		}

		list.push(name, rawHeaders[i + 1]);
	}
};

export type ResponseHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** Appends the response headers that are passed through to a list of alternating names and values. */
export const appendResponseHeaders = (list: string[], headers: ResponseHeaders): void => {
	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || name.startsWith(OWN_PREFIX)) {
			continue;
		}

		if (typeof value === 'string') {
			list.push(name, value);
			continue;
		}

		for (const item of value) {
			list.push(name, item);
		}
	}
};

/** The value of a header, or the first one when there are several. */
export const singleValue = (value: string | readonly string[] | undefined): string | undefined => typeof value === 'string' ? value : value?.[0];
