import type {Admission} from '@yuccawood/accounts';
import type {
	Clock, Log, Metrics, PeerClient, PeerServer, Random,
} from '@yuccawood/common';
import type {ConfigurationSource} from '@yuccawood/configuration';
import type {KeyValueService} from '@yuccawood/interfaces';
import type {MemberTable} from '@yuccawood/membership';

export type EntryServerOptions = {
	readonly selfId: string;

	/** `IP:port` to listen on for callers; with port 0 the system chooses one. */
	readonly listen: string;
	readonly members: MemberTable;
	readonly configuration: ConfigurationSource;
	readonly admission: Admission;
	readonly keyValue: KeyValueService;
	readonly peerServer: PeerServer;
	readonly peerClient: PeerClient;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly clock?: Clock;
	readonly random?: Random;

	/** Time between `/healthz` turning 503 and the listener closing, in milliseconds. */
	readonly drainGraceMs?: number;
};
