import type {
	Clock, InvariantChecker, Log, Metrics, PeerServer,
} from '@yuccawood/common';
import type {ServedVersion} from '@yuccawood/membership';
import type {ModelEngine} from '@yuccawood/interfaces';
import type {VersionCheck} from './engine-response.js';

export type AgentRequestsOptions = {
	readonly selfId: string;
	readonly incarnation: number;

	/** `IP:port` of the upstream on this VM. */
	readonly upstreamAddress: string;
	readonly kind: 'engine' | 'service';
	readonly service: string;

	/** Number of requests that the upstream runs at the same time. */
	readonly capacity: number;

	/** Requests accepted beyond the capacity, which wait in the upstream; by default a quarter of the capacity. */
	readonly queueLimit?: number;

	/** Versions with verified weights that the upstream serves now. */
	readonly serving: () => readonly ServedVersion[];

	/** Versions whose answers may be passed on; by default those of `serving`. */
	readonly isVerified?: VersionCheck;
	readonly peerServer: PeerServer;

	/**
	Reports how many requests the engine has, which distinguishes connections that lost data from a slow engine.
	Without this key the engine at `upstreamAddress` is queried; an explicit `undefined` disables the queries.
	*/
	readonly engine?: Pick<ModelEngine, 'state'>;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Checks that no request id is run twice. */
	readonly invariants?: Pick<InvariantChecker, 'check'>;
	readonly clock?: Clock;

	/** Called with the time from sending a request to the upstream to its response headers, in milliseconds. */
	readonly onFirstByteLatency?: (milliseconds: number) => void;

	/** Called with the bytes of each request body and each part of an answer, which use this VM's network link. */
	readonly onTransferredBytes?: (bytes: number) => void;
};
