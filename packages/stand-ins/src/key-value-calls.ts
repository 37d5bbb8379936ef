/** Classifies calls to the key-value stand-in by method and path. */
import {ENTRIES_PATH, LEASES_PATH} from '@yuccawood/interfaces';
import type {Call} from './stand-in.js';

export type CallKind = 'read' | 'list' | 'watch' | 'write' | 'remove' | 'grant' | 'renew' | 'revoke' | 'unknown';

/** Kinds of calls that the read rate limit applies to. The write rate limit applies to all others. */
export const READ_KINDS: ReadonlySet<CallKind> = new Set(['read', 'list', 'watch']);

export const callKind = ({method, url}: Call): CallKind => {
	const {pathname, searchParams} = url;
	const isEntry = pathname.startsWith(`${ENTRIES_PATH}/`);
	const isLease = pathname.startsWith(`${LEASES_PATH}/`);
	switch (method) {
		case 'GET': {
			if (pathname === ENTRIES_PATH) {
				return 'list';
			}

			const kind = searchParams.has('afterVersion') ? 'watch' : 'read';
			return isEntry ? kind : 'unknown';
		}

		case 'PUT': {
			return isEntry ? 'write' : 'unknown';
		}

		case 'DELETE': {
			const kind = isLease ? 'revoke' : 'unknown';
			return isEntry ? 'remove' : kind;
		}

		case 'POST': {
			const kind = isLease && pathname.endsWith('/renewal') ? 'renew' : 'unknown';
			return pathname === LEASES_PATH ? 'grant' : kind;
		}

		default: {
			return 'unknown';
		}
	}
};

/** Version that the entry must have for a write or removal to take effect, if the call has that condition. */
export const expectedVersion = ({searchParams}: URL): number | undefined =>
	searchParams.has('expectedVersion') ? Number(searchParams.get('expectedVersion')) : undefined;
