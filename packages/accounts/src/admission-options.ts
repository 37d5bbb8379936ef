import type {
	Clock, Log, Metrics, PeerClient, PeerServer, Random,
} from '@yuccawood/common';
import type {ConfigurationSource} from '@yuccawood/configuration';
import type {MemberTable} from '@yuccawood/membership';

export type AccountAdmissionOptions = {
	readonly configuration: ConfigurationSource;
	readonly members: MemberTable;
	readonly peerServer: Pick<PeerServer, 'method'>;
	readonly peerClient: Pick<PeerClient, 'call'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;

	/** Id of this entry. */
	readonly selfId: string;

	/** Requests that all ready upstreams of a pool together run at the same time; the pool is empty for requests that name none. */
	readonly fleetCapacity: (pool: string) => number;

	/** Requests admitted for each one of that capacity; the surplus waits at the agents. */
	readonly capacityFactor?: number;
	readonly isLeaving?: () => boolean;
	readonly reportPeriodMs?: number;
	readonly shareValidMs?: number;
	readonly firstShareWaitMs?: number;

	/** Requests of each pool that may wait; by default a multiple of the entry's share of the capacity. */
	readonly queueLength?: number;
};
