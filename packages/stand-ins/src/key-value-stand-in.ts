/** In-memory stand-in for the key-value service, with rate limits and injectable faults. */
import {
	delay, readBody, sha256, SystemClock, type Clock, type Result,
} from '@yuccawood/common';
import {ENTRIES_PATH, type FailureBody} from '@yuccawood/interfaces';
import {
	expectedVersion, callKind, READ_KINDS, type CallKind,
} from './key-value-calls.js';
import {KeyValueState} from './key-value-state.js';
import {KeyValueWatches} from './key-value-watches.js';
import {RateLimit} from './rate-limit.js';
import {
	disconnectSignal, sendFailure, StandIn, sendSuccess, type Call, type CommonFaults,
} from './stand-in.js';

export type KeyValueFaults = CommonFaults & {
	/** During an outage calls have no effect: `refused` answers 503, `reset` closes the connection, `silent` never answers. */
	outage: 'none' | 'refused' | 'reset' | 'silent';

	/** Delay before each call takes effect. */
	latencyMs: number;

	/** Number of next writes, removals and lease calls that take effect, but whose connection is closed before the answer. */
	loseAnswers: number;

	/** Set to true to close the connections of all pending watches once. It resets itself to false. */
	cutWatches: boolean;

	/** Set to true to expire all leases once. It resets itself to false. */
	expireLeases: boolean;
};

export type KeyValueOptions = {
	readonly writesPerSecond?: number;
	readonly readsPerSecond?: number;
	readonly clock?: Clock;
};

const BODY_LIMIT_BYTES = 2 * 1024 * 1024;
/** Interval at which a call without an answer checks whether the `silent` outage has ended. */
const OUTAGE_POLL_MS = 20;

export class KeyValueStandIn extends StandIn<KeyValueFaults> {
	readonly #state: KeyValueState;
	readonly #reads: RateLimit;
	readonly #writes: RateLimit;
	readonly #watches: KeyValueWatches;

	constructor({writesPerSecond = 400, readsPerSecond = 2000, clock = new SystemClock()}: KeyValueOptions = {}) {
		super({
			downMs: 0, breakConnections: false, outage: 'none', latencyMs: 0, loseAnswers: 0, cutWatches: false, expireLeases: false,
		});
		const {monotonic} = clock;
		this.#state = new KeyValueState({monotonic});
		this.#watches = new KeyValueWatches({read: key => this.#state.read(key)});
		this.#reads = new RateLimit({perSecond: readsPerSecond, monotonic});
		this.#writes = new RateLimit({perSecond: writesPerSecond, monotonic});
	}

	override setFaults(patch: Partial<KeyValueFaults>): void {
		super.setFaults(patch);
		if (this.faults.cutWatches || this.faults.outage !== 'none') {
			this.faults.cutWatches = false;
			this.#watches.disconnectAll();
		}

		if (this.faults.expireLeases) {
			this.faults.expireLeases = false;
			this.record('leases-expired', {count: this.#state.expireAllLeases()});
		}
	}

	protected override async handle(call: Call): Promise<void> {
		const kind = callKind(call);
		this.count(kind);
		await delay(this.faults.latencyMs);
		if (await this.#answerOutage(call)) {
			return;
		}

		const limit = READ_KINDS.has(kind) ? this.#reads : this.#writes;
		if (!limit.tryTake()) {
			this.count('rate-limited');
			sendFailure(call.response, {kind: 'rate-limited', detail: 'The call rate exceeds the limit.', remedy: 'Call less often.'});
			return;
		}

		await this.#execute(kind, call);
	}

	/** Handles the call as the current outage requires. @returns false if there is none. */
	async #answerOutage({response}: Call): Promise<boolean> {
		const {outage} = this.faults;
		if (outage === 'none') {
			return false;
		}

		this.count('during-outage');
		if (outage === 'refused') {
			sendFailure(response, {kind: 'unavailable', detail: 'The service is out of order.', remedy: 'Repeat the call later.'});
			return true;
		}

		const disconnected = disconnectSignal(response);
		while (this.faults.outage === 'silent' && !disconnected.aborted) {
			await delay(OUTAGE_POLL_MS, disconnected);
		}

		response.destroy();
		return true;
	}

	async #execute(kind: CallKind, call: Call): Promise<void> {
		const {request, response, url} = call;
		const key = decodeURIComponent(url.pathname.slice(ENTRIES_PATH.length + 1));
		const leaseId = url.pathname.split('/')[2] ?? '';
		switch (kind) {
			case 'read': {
				sendSuccess(response, this.#state.read(key));
				return;
			}

			case 'list': {
				sendSuccess(response, this.#state.list(url.searchParams.get('prefix') ?? ''));
				return;
			}

			case 'watch': {
				await this.#watches.answer(key, call);
				return;
			}

			case 'write': {
				const value = new TextDecoder().decode(await readBody(request, BODY_LIMIT_BYTES));
				const result = this.#state.write(key, value, {expectedVersion: expectedVersion(url), lease: url.searchParams.get('lease') ?? undefined});
				this.#respond(call, result.map(version => ({version})), {kind, key, valueHash: sha256(value)});
				this.#watches.notify(key);
				return;
			}

			case 'remove': {
				this.#respond(call, this.#state.remove(key, expectedVersion(url)), {kind, key});
				return;
			}

			case 'grant': {
				const {ttlMs} = JSON.parse(new TextDecoder().decode(await readBody(request, BODY_LIMIT_BYTES))) as {readonly ttlMs: number};
				const lease = this.#state.grant(ttlMs);
				this.#respond(call, {ok: true, val: lease}, {kind, lease: lease.id, fencingNumber: lease.fencingNumber});
				return;
			}

			case 'renew': {
				this.#respond(call, this.#state.renew(leaseId).map(remainingMs => ({remainingMs})), {kind, lease: leaseId});
				return;
			}

			case 'revoke': {
				this.#state.revoke(leaseId);
				this.#respond(call, {ok: true, val: undefined}, {kind, lease: leaseId});
				return;
			}

			case 'unknown': {
				sendFailure(response, {kind: 'rejected', detail: `No such path: ${url.pathname}.`, remedy: 'Use a path of the key-value service.'});
			}
		}
	}

	/** Answers a call after it took effect or was refused, or closes the connection to lose the answer. Successful renewals are not logged, because they are frequent. */
	#respond({response}: Call, result: Pick<Result<unknown, FailureBody>, 'ok' | 'val'>, fields: Readonly<Record<string, unknown>>): void {
		const isLost = result.ok && this.faults.loseAnswers > 0;
		if (fields.kind !== 'renew' || !result.ok) {
			this.record(result.ok ? 'applied' : 'refused', {...fields, answer: result.val, isLost});
		}

		if (isLost) {
			this.faults.loseAnswers--;
			this.count('answers-lost');
			response.destroy();
			return;
		}

		if (result.ok) {
			sendSuccess(response, result.val);
			return;
		}

		sendFailure(response, result.val as FailureBody);
	}
}
