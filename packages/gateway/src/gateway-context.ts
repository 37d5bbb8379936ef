import type {Clock, Metrics, Random} from '@yuccawood/common';
import type {CrashReview} from '@yuccawood/crashes';
import type {CallerTimes, RetryBudget, RouteTable} from '@yuccawood/dispatch';
import type {FleetView, Route} from '@yuccawood/fleet';
import type {CrashWatch} from './crash-watch.js';
import type {DecisionLog} from './decision-log.js';
import type {ExpiryWatch} from './expiry-watch.js';
import type {Placer} from './placer.js';
import type {StopLimit} from './stop-limit.js';
import type {HeaderCodec} from './types.js';
import type {ConnectedUpstream, UpstreamStates} from './upstream-states.js';

/** Objects and settings that all exchanges of one entry share. */
export type GatewayContext = {
	readonly view: FleetView;
	readonly states: UpstreamStates;
	readonly placer: Placer<ConnectedUpstream>;
	readonly crashWatch: CrashWatch;
	readonly crashReview: CrashReview;
	readonly expiryWatch: ExpiryWatch;
	readonly codec: HeaderCodec;
	readonly retryBudgetOf: (service: string) => RetryBudget;

	/** Staleness bound in milliseconds: once a target version has been known for this long, older versions may not answer. */
	readonly versionBoundMs: number;
	readonly failureDomain: string;
	readonly isDraining: () => boolean;
	readonly stopLimit: StopLimit;
	readonly clock: Clock;
	readonly random: Random;
	readonly decisions: DecisionLog;
	readonly metrics: Metrics;
};

/** A request that was read completely and passed all checks. */
export type AcceptedRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array | undefined;
	readonly lastEventId: string | undefined;
	readonly promptTokens: number | undefined;
	readonly sharedParts: readonly string[];
	readonly route: Route;
	readonly table: RouteTable;
	readonly service: string;
	readonly account: string | undefined;
	readonly priority: number;

	/** Monotonic milliseconds. */
	readonly arrivedAt: number;
} & CallerTimes;
