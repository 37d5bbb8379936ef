/** Parses the headers of a request forwarded by an entry. */
import type {IncomingMessage} from 'node:http';
import {
	ACCOUNT, DEADLINE_MS, FINGERPRINT, INCARNATION, MODEL, PRIORITY, REPEATABLE, REQUEST_ID, SUSPECT, VERSION, VM, singleValue,
} from './headers.js';

export type ForwardedHead = {
	readonly requestId: string;
	readonly vm: string;
	readonly incarnation: number;

	/** Time left until the deadline, in milliseconds. */
	readonly deadlineMs: number;
	readonly account: string;
	readonly priority: string;
	readonly fingerprint: string;
	readonly repeatable: boolean;

	/** Whether a death of an upstream is attributed to the request. */
	readonly suspect: boolean;
	readonly model: string | undefined;

	/** Manifest hash of the only version that may answer, if the caller requires one. */
	readonly pinnedVersion: string | undefined;
};

/** @returns `undefined` when the request does not come from an entry. */
export const parseForwardedHead = ({headers}: IncomingMessage): ForwardedHead | undefined => {
	const requestId = singleValue(headers[REQUEST_ID]);
	if (requestId === undefined) {
		return undefined;
	}

	const model = singleValue(headers[MODEL]);
	return {
		requestId,
		vm: singleValue(headers[VM]) ?? '',
		incarnation: Number(singleValue(headers[INCARNATION])),
		deadlineMs: Number(singleValue(headers[DEADLINE_MS]) ?? 0),
		account: singleValue(headers[ACCOUNT]) ?? '',
		priority: singleValue(headers[PRIORITY]) ?? '0',
		fingerprint: singleValue(headers[FINGERPRINT]) ?? '',
		repeatable: headers[REPEATABLE] === 'yes',
		suspect: headers[SUSPECT] === 'yes',
		model: model === undefined ? undefined : decodeURIComponent(model),
		pinnedVersion: singleValue(headers[VERSION]),
	};
};
