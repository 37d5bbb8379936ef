/** What one attempt to send a request to an upstream needs. */
import type {ServerResponse} from 'node:http';
import type {Suspect} from '@yuccawood/crashes';
import type {AnswerTiming} from './answer-timing.js';
import type {AcceptedRequest} from './accepted-request.js';
import type {GatewayContext} from './gateway-context.js';
import type {EventRelay} from './event-relay.js';
import type {SendControl} from './hedged-send.js';
import type {EarlyEnd} from './send-result.js';
import type {SendRequest} from './upstream-link.js';
import type {ConnectedUpstream} from './upstream-states.js';

export type TransmitOptions = {
	readonly context: GatewayContext;
	readonly request: AcceptedRequest;
	readonly response: ServerResponse;

	/** Forwards the events of a stream to the caller; undefined for requests without a stream. */
	readonly relay: EventRelay | undefined;
	readonly timing: AnswerTiming;
	readonly state: ConnectedUpstream;
	readonly upstreamRequest: SendRequest;
	readonly suspects: readonly Suspect[];

	/** Aborts when the caller disconnects or the deadline passes. */
	readonly endSignal: AbortSignal;
	readonly endedBy: () => EarlyEnd | undefined;
	readonly control: SendControl;

	/**
	Time without data, in milliseconds, after which the request may be retried at another upstream; undefined if the route
	forbids it. It depends on the load of the upstream at the moment.
	*/
	readonly noDataTimeoutMs: () => number | undefined;
	readonly canRetryElsewhere: () => boolean;

	/** Whether another upstream may begin an answer in the time that is left. If not, silence is no reason to leave this one. */
	readonly hasTimeElsewhere: () => boolean;

	/** Time in milliseconds after which an answer that has not begun counts as delayed on its way. */
	readonly pathSilenceMs: () => number;

	/**
	Time in milliseconds until a request without an answer has to be cancelled because the upstream's version expires;
	undefined if it does not expire.
	*/
	readonly msUntilCancel: () => number | undefined;

	/** Time in milliseconds since the version expired; undefined while it may answer. */
	readonly msSinceExpiry: (version: number) => number | undefined;
};
