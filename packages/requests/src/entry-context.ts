/** Components shared within an entry. */
import type {Clock, Log, Metrics} from '@yuccawood/common';
import type {CrashReview} from '@yuccawood/crashes';
import type {WorkGate} from '@yuccawood/gateway';
import type {ConnectionPools} from './connection-pools.js';
import type {RequestIds} from './request-ids.js';
import type {RetryBudget} from './retry-budget.js';
import type {Router} from './router.js';
import type {DeathReporter} from './death-reporter.js';
import type {Quarantine} from './quarantine.js';
import type {Settlement} from './settlement.js';
import type {Supervisor} from './supervisor.js';
import type {TargetQueues} from './target-queues.js';

export type EntryContext = {
	readonly ids: RequestIds;
	readonly router: Router;
	readonly queues: TargetQueues;
	readonly pools: ConnectionPools;
	readonly gate: WorkGate;
	readonly settlement: Settlement;
	readonly supervisor: Supervisor;
	readonly budget: RetryBudget;
	readonly quarantine: Quarantine;

	/** What upstreams crash under that several calls share. */
	readonly crashReview: CrashReview;
	readonly deathReporter: DeathReporter;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
};
