/** What a soak run records: the callers' side, the stand-ins' logs, and what was done to the system. */
import type {LogEntry, Message} from '@yuccawood/stand-ins';

/** Undisturbed time before a planned stop. Attempts that began earlier may suffer from earlier faults. */
export const QUIET_BEFORE_STOP_MS = 2000;

/** One HTTP exchange of a caller. Times are milliseconds since the epoch. */
export type Attempt = {
	readonly entry: string;
	readonly startedAt: number;
	readonly endedAt: number;

	/** `answered`: a whole answer of the upstream; `refused`: a problem document; `broken`: anything that ended early; `unreached`: nothing was sent. */
	readonly result: 'answered' | 'refused' | 'broken' | 'unreached';
	readonly status: number;
	readonly outcome: 'not-run' | 'completed' | 'unknown' | undefined;
	readonly problem: string | undefined;
	readonly requestId: string | undefined;

	/** Manifest hash that the answer names. */
	readonly version: string | undefined;

	/** Generated text, or the body of a plain answer, as far as it was received. */
	readonly text: string;
};

/** One call of a caller, sent once or again with the same content. */
export type CallRecord = {
	readonly id: string;

	/** `order` is a call that must not be run twice; `read` may be repeated by the system. */
	readonly kind: 'chat' | 'order' | 'read' | 'poison';

	/** Hash under which the stand-ins log the call. */
	readonly content: string;
	readonly method: string;
	readonly path: string;
	readonly idempotencyKey: string | undefined;
	readonly model: string;
	readonly messages: readonly Message[];
	readonly maxTokens: number;
	readonly attempts: readonly Attempt[];
};

/** A fault or action, with the time during which it may have an effect. */
export type Interference = {
	readonly kind: string;
	readonly target: string;
	readonly startedAt: number;
	readonly endedAt: number;
};

export type PlannedStop = {
	readonly target: string;
	readonly startedAt: number;
	readonly endedAt: number;

	/** `undefined` when the process had to be killed because it did not end. */
	readonly exitCode: number | undefined;
};

export type RevisionSample = {
	readonly process: string;
	readonly at: number;
	readonly revision: number;

	/** Violations that the process counted of itself. */
	readonly brokenInvariants?: number;
};

/** An edit with what its author was told. */
export type EditRecord = {
	readonly editId: string;
	readonly result: 'accepted' | 'refused' | 'unknown';
	readonly reason: string | undefined;
};

export type StandInLog = {
	readonly name: string;
	readonly kind: 'engine' | 'service';
	readonly entries: readonly LogEntry[];
};

export type Evidence = {
	readonly calls: readonly CallRecord[];
	readonly logs: readonly StandInLog[];

	/** Hashes of the manifests that the origin serves. */
	readonly manifests: ReadonlySet<string>;
	readonly interferences: readonly Interference[];
	readonly plannedStops: readonly PlannedStop[];
	readonly revisions: readonly RevisionSample[];
	readonly edits: readonly EditRecord[];

	/** Ids of the edits in the history of the document. */
	readonly history: readonly string[];
};

export type Violation = {
	readonly rule: string;
	readonly detail: string;

	/** Events that led to it, in order of time. */
	readonly trace: readonly string[];
};
