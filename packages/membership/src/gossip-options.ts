import type {
	Clock, Log, Metrics, PeerClient, PeerServer, Random,
} from '@yuccawood/common';
import type {VmList} from '@yuccawood/interfaces';
import * as defaults from './constants.js';
import type {MemberRecord} from './types.js';

/** What a process says about itself at its start. The incarnation defaults to the wall-clock time. */
export type OwnDescription = Pick<MemberRecord, 'id' | 'role' | 'address' | 'region' | 'failureDomain' | 'upstream'> & {
	readonly incarnation?: number;
};

export type GossipTiming = {
	readonly periodMs?: number;
	readonly pingTimeoutMs?: number;
	readonly indirectPingTimeoutMs?: number;
	readonly suspicionPeriods?: number;
	readonly deadRetentionMs?: number;
	readonly tombstoneRetentionMs?: number;
	readonly retryAddressesMs?: number;
	readonly reconnectPeriodMs?: number;
	readonly vmListPeriodMs?: number;
};

export type GossipOptions = GossipTiming & {
	readonly self: OwnDescription;

	/** Peer addresses to join through; the own address may be among them. */
	readonly seeds: readonly string[];
	readonly peerServer: Pick<PeerServer, 'method'>;
	readonly peerClient: Pick<PeerClient, 'call'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: Metrics;

	/** The platform's list of VMs; it only hints that a member is leaving. */
	readonly vmList?: VmList;

	/** Called when others mark this process as leaving. */
	readonly onLeaveHint?: () => void;

	/** Called when another process with the same id and a higher incarnation runs. */
	readonly onSuperseded?: () => void;
	readonly indirectPings?: number;
	readonly messageBytes?: number;
	readonly recordBytesPerSecond?: number;
	readonly recordBurstBytes?: number;
};

export const withDefaults = (options: GossipOptions) => ({
	periodMs: defaults.PERIOD_MS,
	pingTimeoutMs: defaults.PING_TIMEOUT_MS,
	indirectPingTimeoutMs: defaults.INDIRECT_PING_TIMEOUT_MS,
	suspicionPeriods: defaults.SUSPICION_PERIODS,
	deadRetentionMs: defaults.DEAD_RETENTION_MS,
	tombstoneRetentionMs: defaults.TOMBSTONE_RETENTION_MS,
	retryAddressesMs: defaults.RETRY_ADDRESSES_MS,
	reconnectPeriodMs: defaults.RECONNECT_PERIOD_MS,
	vmListPeriodMs: defaults.VM_LIST_PERIOD_MS,
	indirectPings: defaults.INDIRECT_PINGS,
	messageBytes: defaults.MESSAGE_BYTES,
	recordBytesPerSecond: defaults.RECORD_BYTES_PER_SECOND,
	recordBurstBytes: defaults.RECORD_BURST_BYTES,
	onLeaveHint() {
		// Without a listener the own status still changes to leaving.
	},
	onSuperseded() {
		// Without a listener the process only stops defending its id.
	},
	...options,
});

export type CompleteGossipOptions = ReturnType<typeof withDefaults>;
