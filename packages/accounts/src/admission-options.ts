import type {
	Clock, Log, Metrics, PeerClient, PeerServer, Random,
} from '@yuccawood/common';
import type {ConfigurationSource} from '@yuccawood/configuration';
import type {MemberTable} from '@yuccawood/membership';

/** Options of `AccountAdmission`; those with defaults take them from `constants.ts`. */
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

	/** Requests that all ready upstreams of a pool together run at the same time. The name is empty for requests without a pool. */
	readonly fleetCapacity: (pool: string) => number;

	/** Requests admitted per request of `fleetCapacity`; the surplus waits in the queues of the agents. */
	readonly capacityFactor?: number;

	/** True while this entry shuts down; all requests are then refused. */
	readonly isLeaving?: () => boolean;

	/** Time between two rounds of demand reports. */
	readonly reportPeriodMs?: number;

	/** Time for which a share that this entry grants is valid while few entries report. */
	readonly shareValidMs?: number;

	/** Longest time that a request waits for the first share of its account or pool. */
	readonly firstShareWaitMs?: number;

	/** Queue length of each pool; by default a multiple of the entry's share of the capacity. */
	readonly queueLength?: number;
};
