import type {Clock, Metrics, Random} from '@yuccawood/common';
import type {CrashReview} from '@yuccawood/crashes';
import type {RetryBudget} from '@yuccawood/dispatch';
import type {FleetView} from '@yuccawood/fleet';
import type {CrashWatch} from './crash-watch.js';
import type {DecisionLog} from './decision-log.js';
import type {ExpiryWatch} from './expiry-watch.js';
import type {LagWatch} from './lag-watch.js';
import type {PathProbes} from './path-probes.js';
import type {Placer} from './placer.js';
import type {ReadDelay} from './read-delay.js';
import type {StopLimit} from './stop-limit.js';
import type {HeaderCodec} from './types.js';
import type {ConnectedUpstream, UpstreamStates} from './upstream-states.js';
import type {WorkGate} from './work-gate.js';

/** Objects and settings that all exchanges of one entry share. */
export type GatewayContext = {
	readonly view: FleetView;
	readonly states: UpstreamStates;
	readonly placer: Placer<ConnectedUpstream>;
	readonly crashWatch: CrashWatch;
	readonly crashReview: CrashReview;
	readonly expiryWatch: ExpiryWatch;
	readonly codec: HeaderCodec;

	/** All reads of requests and all sends pass this gate. */
	readonly gate: WorkGate;
	readonly pathProbes: PathProbes;
	readonly readDelay: ReadDelay;
	readonly retryBudgetOf: (service: string) => RetryBudget;

	/** Staleness bound in milliseconds: once a target version has been known for this long, older versions may not answer. */
	readonly versionBoundMs: number;
	readonly failureDomain: string;

	/** Region of each failure domain. */
	readonly regions: () => ReadonlyMap<string, string>;
	readonly isDraining: () => boolean;
	readonly lag: LagWatch;
	readonly stopLimit: StopLimit;
	readonly clock: Clock;
	readonly random: Random;
	readonly decisions: DecisionLog;
	readonly metrics: Metrics;
};
