/** Builds the request that an entry sends to an agent. */
import type {Permit} from '@yuccawood/accounts';
import type {Call} from './call.js';
import {withPriority} from './chat-body.js';
import type {ExchangeRequest} from './exchange.js';
import {
	ACCOUNT, DEADLINE_MS, FINGERPRINT, INCARNATION, MODEL, PRIORITY, REPEATABLE, REQUEST_ID, SUSPECT, VERSION, VM, appendRequestHeaders,
} from './headers.js';
import type {Agent} from './router.js';

export const createForwardedRequest = ({call, agent, permit, body, isSuspect, now}: {
	readonly call: Call;
	readonly agent: Agent;
	readonly permit: Permit;
	readonly body: Uint8Array | undefined;

	/** Whether a death of an upstream is attributed to the request. */
	readonly isSuspect: boolean;

	/** Monotonic time in milliseconds. */
	readonly now: number;
}): ExchangeRequest => {
	const headers = [
		REQUEST_ID,
		call.requestId,
		VM,
		agent.id,
		INCARNATION,
		String(agent.incarnation),
		DEADLINE_MS,
		String(Math.max(0, Math.ceil(call.deadlineAt - now))),
		ACCOUNT,
		permit.account,
		PRIORITY,
		String(permit.priority),
		FINGERPRINT,
		call.fingerprint,
		REPEATABLE,
		call.repeatable ? 'yes' : 'no',
	];
	if (call.target.kind === 'model') {
		headers.push(MODEL, encodeURIComponent(call.target.name));
	}

	if (call.pinnedVersion !== undefined) {
		headers.push(VERSION, call.pinnedVersion);
	}

	if (isSuspect) {
		headers.push(SUSPECT, 'yes');
	}

	appendRequestHeaders(headers, call.rawHeaders, call.connection);
	return {
		method: call.method, path: `/requests${call.path}`, headers, body,
	};
};

/** The body to forward: the caller's, with the priority of the account if the target is a model. */
export const prepareBody = ({body, chat}: Call, {priority}: Permit): Uint8Array | undefined => body && chat ? withPriority(body, chat, priority) : body;
