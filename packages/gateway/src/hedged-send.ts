/**
Sends a request to an upstream. While that one is silent in the middle of a stream, another one is asked for the rest, and the one
that goes on first is kept.

Load pattern: upstreams preempt their newest streams and pause, and are full. One that is left for its silence before another one has
gone on with the stream leaves the caller with a part of it.
*/
import {CancellationError, SilenceError, type SendResult} from './send-result.js';
import type {ConnectedUpstream} from './upstream-states.js';

/** What a send reports and obeys while it is in progress. */
export type SendControl = {
	/** Aborts, with an error as the reason, when the send is no longer needed. */
	readonly withdrawal: AbortSignal;

	/** Called when the caller has a part of the answer and the upstream has been silent for too long. */
	readonly onStall: (silentMs: number) => void;

	/** Called when the caller got a part of the answer from this upstream. */
	readonly onAdvance: () => void;
};

/** The last result of a request's sends, and the upstream that it came from. */
export type SendOutcome = {readonly state: ConnectedUpstream; readonly result: SendResult};

/** The outcome of a send that brought no whole answer. */
export type SendLoss = SendOutcome & {readonly result: {readonly kind: 'failed' | 'ended'}};

export type HedgedSendOptions = {
	readonly send: (state: ConnectedUpstream, control: SendControl) => Promise<SendResult>;

	/** Takes a free slot of another upstream for the rest of the stream; undefined if none is free or the request may not be sent once more. */
	readonly takeSlot: (silent: ConnectedUpstream, refusedBy: ReadonlySet<string>, silentMs: number) => ConnectedUpstream | undefined;

	/** Called when one of two sends has failed or ended and the other one goes on. */
	readonly onLoss: (loss: SendLoss) => void;
};

type Attempt = {
	readonly state: ConnectedUpstream;
	readonly controller: AbortController;

	/** Whether another upstream was asked because of its silence. */
	isSilent: boolean;
};

export class HedgedSend {
	readonly #options: HedgedSendOptions;
	readonly #attempts = new Set<Attempt>();

	/** Keys of the upstreams that refused to go on since the caller's last event. Later they may have a free slot. */
	readonly #refusedBy = new Set<string>();

	constructor(options: HedgedSendOptions) {
		this.#options = options;
	}

	/** Resolves when the request was answered or ended, or when no send is left that may answer it. */
	async run(state: ConnectedUpstream): Promise<SendOutcome> {
		return new Promise((resolve, reject) => {
			const begin = async (next: ConnectedUpstream): Promise<void> => {
				try {
					const outcome = await this.#follow(next, begin);
					if (outcome) {
						resolve(outcome);
					}
				} catch (error) {
					this.#withdrawAllBut(undefined);
					reject(error instanceof Error ? error : new Error(String(error)));
				}
			};

			void begin(state);
		});
	}

	/**
	A send may end by itself, for example because too little time is left to begin it. That doesn't end another one, which ends with
	the request.

	@returns undefined if the send brought no whole answer and another one goes on
	*/
	async #follow(state: ConnectedUpstream, begin: (state: ConnectedUpstream) => Promise<void>): Promise<SendOutcome | undefined> {
		const attempt: Attempt = {state, controller: new AbortController(), isSilent: false};
		this.#attempts.add(attempt);
		const result = await this.#options.send(state, {
			withdrawal: attempt.controller.signal,
			onStall: silentMs => {
				this.#hedge(silentMs, begin);
			},
			onAdvance: () => {
				attempt.isSilent = false;
				this.#refusedBy.clear();
				this.#withdrawAllBut(attempt);
			},
		});
		this.#attempts.delete(attempt);
		if (result.kind === 'delivered') {
			this.#withdrawAllBut(attempt);
			return {state, result};
		}

		if (this.#attempts.size === 0) {
			return {state, result};
		}

		this.#options.onLoss({state, result});
		if (result.kind === 'failed' && result.failure === 'not-run' && !attempt.controller.signal.aborted) {
			this.#refusedBy.add(state.upstream.key);
			this.#hedge(0, begin);
		}

		return undefined;
	}

	#hedge(silentMs: number, begin: (state: ConnectedUpstream) => Promise<void>): void {
		if (this.#attempts.size !== 1) {
			return;
		}

		const [attempt] = this.#attempts;
		const next = this.#options.takeSlot(attempt.state, this.#refusedBy, silentMs);
		if (next) {
			attempt.isSilent = true;
			void begin(next);
		}
	}

	#withdrawAllBut(kept: Attempt | undefined): void {
		for (const attempt of this.#attempts) {
			if (attempt !== kept) {
				attempt.controller.abort(attempt.isSilent ? new SilenceError('another upstream went on first') : new CancellationError('the silent upstream went on first'));
			}
		}
	}
}
