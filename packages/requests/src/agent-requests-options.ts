import type {
	Clock, Invariants, Log, Metrics, PeerServer,
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

	/** Requests that the upstream runs at the same time. */
	readonly capacity: number;

	/** Requests accepted beyond the capacity, which wait in the upstream. */
	readonly queueLimit?: number;

	/** Versions whose weights were verified and that the upstream answers with. */
	readonly serving: () => readonly ServedVersion[];

	/** Versions whose answers may be passed on; by default those of `serving`. */
	readonly isVerified?: VersionCheck;
	readonly peerServer: PeerServer;

	/** Tells how many requests the engine has, which tells silent connections from a slow engine. By default the engine at `upstreamAddress`. */
	readonly engine?: Pick<ModelEngine, 'state'>;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Checks that no request id is run twice. */
	readonly invariants?: Pick<Invariants, 'check'>;
	readonly clock?: Clock;

	/** Time from forwarding a request to the first byte of its answer, in milliseconds. */
	readonly onLiveLatency?: (milliseconds: number) => void;

	/** Bytes of live requests on this VM's link. */
	readonly onLiveBytes?: (bytes: number) => void;
};
