/** Faults of a soak run, drawn from the seed. */
import type {Random} from '@yuccawood/common';

export type FaultKind =
	'kill' | 'freeze' | 'cut-upstream' | 'silent-upstream' | 'silent-entry' | 'silent-key-value' | 'key-value-outage' | 'key-value-slow' | 'key-value-lost-answers'
	| 'leases-lapse' | 'corrupt-chunks' | 'origin-stopped' | 'origin-cut' | 'version-change' | 'operator-race' | 'poison' | 'upstream-lost-answers'
	| 'upstream-slow' | 'upstream-down' | 'service-reset' | 'vm-leaving' | 'planned-stop';

export type Fault = {
	readonly kind: FaultKind;

	/** From 0 up to 1; selects the target among those that fit the kind. */
	readonly target: number;
	readonly durationMs: number;
};

/** One step of the schedule. All its faults begin together. */
export type Step = {
	readonly faults: readonly Fault[];

	/** Undisturbed time after the faults have ended. */
	readonly restMs: number;
};

/** Kinds with their relative frequency. */
const WEIGHTS: ReadonlyArray<readonly [FaultKind, number]> = [
	['kill', 3],
	['freeze', 3],
	['cut-upstream', 2],
	['silent-upstream', 2],
	['silent-entry', 1],
	['silent-key-value', 1],
	['key-value-outage', 2],
	['key-value-slow', 2],
	['key-value-lost-answers', 2],
	['leases-lapse', 2],
	['corrupt-chunks', 2],
	['origin-stopped', 1],
	['origin-cut', 1],
	['version-change', 4],
	['operator-race', 2],
	['poison', 1],
	['upstream-lost-answers', 2],
	['upstream-slow', 2],
	['upstream-down', 2],
	['service-reset', 1],
	['vm-leaving', 1],
	['planned-stop', 4],
];

const TOTAL_WEIGHT = WEIGHTS.reduce((sum, [, weight]) => sum + weight, 0);
const SHARE_OF_PAIRS = 0.4;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 3000;
const MAX_REST_MS = 1500;

/** A planned stop must not be disturbed, so that anything it cuts is its own fault. */
const REST_BEFORE_STOP_MS = 4000;

const drawKind = (random: Random): FaultKind => {
	let remaining = random.next() * TOTAL_WEIGHT;
	for (const [kind, weight] of WEIGHTS) {
		remaining -= weight;
		if (remaining < 0) {
			return kind;
		}
	}

	return 'kill';
};

const drawFault = (random: Random): Fault => ({
	kind: drawKind(random),
	target: random.next(),
	durationMs: MIN_DURATION_MS + random.nextInteger(MAX_DURATION_MS - MIN_DURATION_MS),
});

/** Steps without end; the run takes as many as its time allows. */
export function * drawSchedule(random: Random): Generator<Step, never> {
	for (;;) {
		const first = drawFault(random);
		const second = drawFault(random);
		const isPair = random.next() < SHARE_OF_PAIRS;
		const restMs = random.nextInteger(MAX_REST_MS);
		if (first.kind === 'planned-stop') {
			yield {faults: [], restMs: REST_BEFORE_STOP_MS};
			yield {faults: [first], restMs};
			continue;
		}

		const isAllowed = isPair && second.kind !== 'planned-stop' && second.kind !== first.kind;
		yield {faults: isAllowed ? [first, second] : [first], restMs};
	}
}
