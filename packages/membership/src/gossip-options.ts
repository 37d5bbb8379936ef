import type {
	Clock, Log, Metrics, PeerClient, PeerServer, Random,
} from '@yuccawood/common';
import type {VmList} from '@yuccawood/interfaces';
import * as defaults from './constants.js';
import type {MemberRecord} from './types.js';

/** Description of this process at its start. The incarnation defaults to the wall-clock time in milliseconds since the epoch. */
export type OwnDescription = Pick<MemberRecord, 'id' | 'role' | 'address' | 'region' | 'failureDomain' | 'upstream'> & {
	readonly incarnation?: number;
};

/** Intervals and timeouts. The defaults are in `constants.ts`. */
export type GossipTiming = {
	readonly periodMs?: number;
	readonly pingTimeoutMs?: number;
	readonly indirectPingTimeoutMs?: number;
	readonly suspicionPeriods?: number;
	readonly deadRetentionMs?: number;
	readonly tombstoneRetentionMs?: number;
	readonly lostAddressRetryMs?: number;
	readonly reconnectPeriodMs?: number;
	readonly vmListPeriodMs?: number;
};

export type GossipOptions = GossipTiming & {
	readonly self: OwnDescription;

	/** Peer addresses to join through, as `IP:port`. The address of this process may be among them. */
	readonly seeds: readonly string[];
	readonly peerServer: Pick<PeerServer, 'method'>;
	readonly peerClient: Pick<PeerClient, 'call'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;

	/** The platform's list of VMs. It is only used to learn early that a VM is leaving. */
	readonly vmList?: VmList;

	/** Called when another member has marked this process as leaving. */
	readonly onLeaveHint?: () => void;

	/** Called when another running process has the same id and a higher incarnation. */
	readonly onSuperseded?: () => void;

	/** Number of members that are asked for an indirect ping when a direct ping fails. */
	readonly indirectPings?: number;

	/** Most bytes of records and claims in one message. */
	readonly messageBytes?: number;
	readonly recordBytesPerSecond?: number;
	readonly recordBurstBytes?: number;
};

/** The options, with defaults for those that are absent. */
export const withDefaults = (options: GossipOptions) => ({
	periodMs: defaults.PERIOD_MS,
	pingTimeoutMs: defaults.PING_TIMEOUT_MS,
	indirectPingTimeoutMs: defaults.INDIRECT_PING_TIMEOUT_MS,
	suspicionPeriods: defaults.SUSPICION_PERIODS,
	deadRetentionMs: defaults.DEAD_RETENTION_MS,
	tombstoneRetentionMs: defaults.TOMBSTONE_RETENTION_MS,
	lostAddressRetryMs: defaults.LOST_ADDRESS_RETRY_MS,
	reconnectPeriodMs: defaults.RECONNECT_PERIOD_MS,
	vmListPeriodMs: defaults.VM_LIST_PERIOD_MS,
	indirectPings: defaults.INDIRECT_PING_COUNT,
	messageBytes: defaults.MESSAGE_BYTES,
	recordBytesPerSecond: defaults.RECORD_BYTES_PER_SECOND,
	recordBurstBytes: defaults.RECORD_BURST_BYTES,
	onLeaveHint() {
		// Even without a callback the status of this process changes to leaving.
	},
	onSuperseded() {
		// Without a callback the process only stops contesting its id.
	},
	...options,
});

export type CompleteGossipOptions = ReturnType<typeof withDefaults>;
