/**
What one run at an upstream shows about crashes: that the upstream lives, that the run goes on well, or that its answer broke
off.
*/
import type {Suspect} from '@yuccawood/crashes';
import {PROVEN_RUN_MS} from './constants.js';
import type {GatewayContext} from './gateway-context.js';
import type {UpstreamState} from './upstream-state.js';

export type RunEvidenceOptions = {
	readonly context: Pick<GatewayContext, 'clock' | 'crashReview' | 'crashWatch'>;
	readonly state: UpstreamState;
	readonly suspects: readonly Suspect[];
};

export class RunEvidence {
	readonly #options: RunEvidenceOptions;
	readonly #sendKey: symbol;
	#isFramed = false;
	#firstDataAt: number | undefined;

	/** Whether the run has gone on well for long enough that it does not crash its upstream. */
	#isProven = false;
	#hasBroken = false;

	constructor(options: RunEvidenceOptions) {
		this.#options = options;
		this.#sendKey = options.state.beginSend(options.context.clock.monotonic());
	}

	/** Whether the answer broke off before the run had gone on well for long enough. */
	get isSuspect(): boolean {
		return this.#hasBroken && !this.#isProven;
	}

	/** Whether the answer states where it ends. Otherwise it ends with its connection, and so looks complete if the upstream crashes. */
	get isFramed(): boolean {
		return this.#isFramed;
	}

	recordHead(headers: Readonly<Record<string, unknown>>): void {
		this.#options.state.recordData(this.#options.context.clock.monotonic());
		this.#isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
	}

	recordData(): void {
		const {context: {clock}, state} = this.#options;
		const now = clock.monotonic();
		state.recordData(now);
		this.#firstDataAt ??= now;
		if (now - this.#firstDataAt >= PROVEN_RUN_MS) {
			this.#recordSuccess();
		}
	}

	/** Records that the answer ended without an error. */
	recordEnd(): void {
		if (this.#isFramed) {
			this.#recordSuccess();
		} else if (!this.#isProven) {
			this.#recordBreak(false);
		}
	}

	/** Records that the answer broke off while the upstream may have been running the request. */
	recordBreak(): void {
		this.#hasBroken = true;
		this.#recordBreak(true);
	}

	/** To be called when the send has a result. */
	close(): void {
		this.#options.state.endSend(this.#sendKey);
	}

	#recordBreak(isCertain: boolean): void {
		const {context: {crashWatch}, state, suspects} = this.#options;
		crashWatch.recordBrokenAnswer(state.upstream.key, {suspects: this.#isProven ? [] : suspects, isCertain});
	}

	#recordSuccess(): void {
		if (!this.#isProven) {
			this.#isProven = true;
			this.#options.context.crashReview.recordSuccess(this.#options.suspects);
		}
	}
}
