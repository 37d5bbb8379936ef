/** Stand-in for the platform's list of VMs, which shows changes after a lag. */
import {readBody, SystemClock, type Clock} from '@yuccawood/common';
import {VMS_PATH, type VmState} from '@yuccawood/interfaces';
import {
	sendFailure, StandIn, sendSuccess, type Call, type CommonFaults,
} from './stand-in.js';

export type VmListFaults = CommonFaults & {
	/** Answers 503 while true. */
	isOut: boolean;
};

export type VmListOptions = {
	/** Time until the list shows a change. */
	readonly lagMs?: number;
	readonly vms?: readonly VmState[];
	readonly clock?: Clock;
};

const BODY_LIMIT_BYTES = 1024 * 1024;

export class VmListStandIn extends StandIn<VmListFaults> {
	readonly #lagMs: number;
	readonly #clock: Clock;
	#history: ReadonlyArray<{readonly at: number; readonly vms: readonly VmState[]}>;

	constructor({lagMs = 0, vms = [], clock = new SystemClock()}: VmListOptions = {}) {
		super({downMs: 0, breakConnections: false, isOut: false});
		this.#lagMs = lagMs;
		this.#clock = clock;
		this.#history = [{at: Number.NEGATIVE_INFINITY, vms}];
	}

	/** Replaces the VMs. The list shows them after the lag. `PUT /vms` does the same over HTTP. */
	setVms(vms: readonly VmState[]): void {
		this.#history = [...this.#history, {at: this.#clock.monotonic() + this.#lagMs, vms}];
		this.record('changed', {vms});
	}

	protected override async handle({request, response, url, method}: Call): Promise<void> {
		if (url.pathname !== VMS_PATH) {
			sendFailure(response, {kind: 'not-found', detail: `No such path: ${url.pathname}.`, remedy: `Use ${VMS_PATH}.`});
			return;
		}

		if (method === 'PUT') {
			this.setVms(JSON.parse(new TextDecoder().decode(await readBody(request, BODY_LIMIT_BYTES))) as readonly VmState[]);
			sendSuccess(response);
			return;
		}

		this.count('list');
		if (this.faults.isOut) {
			sendFailure(response, {kind: 'unavailable', detail: 'The VM list is out of order.', remedy: 'Repeat the call later.'});
			return;
		}

		sendSuccess(response, this.#visibleVms());
	}

	#visibleVms(): readonly VmState[] {
		const now = this.#clock.monotonic();
		const first = this.#history.findLastIndex(({at}) => at <= now);
		this.#history = this.#history.slice(first);
		return this.#history[0].vms;
	}
}
