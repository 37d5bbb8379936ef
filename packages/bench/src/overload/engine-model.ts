/**
Model of an engine that processes its requests in passes. A pass reads a part of the waiting prompts, and then makes some
tokens for each request whose prompt has been read.
*/
import type {EngineProfile} from '@yuccawood/fleet';
import type {VirtualTime} from '@yuccawood/membership/testing';

export type EngineRequest = {
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly onFirstToken: () => void;
	readonly onEnd: () => void;

	/** The engine was full and did not run the request. */
	readonly onRefused: () => void;

	/** The engine broke off. */
	readonly onBroken: () => void;
};

type Work = {readonly request: EngineRequest; unreadTokens: number; missingTokens: number; isCancelled: boolean};

export type EngineModelOptions = {
	readonly time: VirtualTime;
	readonly profile: EngineProfile;
	readonly queueLimit: number;
};

export class EngineModel {
	/** Factor by which the engine is slower than its profile. */
	pace = 1;
	finished = 0;
	readonly #options: EngineModelOptions;
	#running: Work[] = [];
	#waiting: Work[] = [];
	#isServing = true;
	#isInPass = false;

	constructor(options: EngineModelOptions) {
		this.#options = options;
	}

	get isServing(): boolean {
		return this.#isServing;
	}

	/** Requests whose first token was made, and requests before that, as an engine reports them. */
	get counts(): {readonly running: number; readonly waiting: number} {
		const running = this.#running.filter(({unreadTokens}) => unreadTokens === 0).length;
		return {running, waiting: this.#running.length - running + this.#waiting.length};
	}

	/** @returns a function that cancels the request */
	submit(request: EngineRequest): () => void {
		const {profile, queueLimit} = this.#options;
		if (!this.#isServing || this.#running.length + this.#waiting.length >= profile.slots + queueLimit) {
			request.onRefused();
			return () => undefined;
		}

		const work: Work = {
			request, unreadTokens: request.promptTokens, missingTokens: request.answerTokens, isCancelled: false,
		};
		this.#waiting.push(work);
		this.#beginPass();
		return () => {
			work.isCancelled = true;
		};
	}

	/** Breaks off all requests and accepts no more. */
	stop(): void {
		this.#isServing = false;
		const broken = [...this.#running, ...this.#waiting].filter(({isCancelled}) => !isCancelled);
		this.#running = [];
		this.#waiting = [];
		for (const {request} of broken) {
			request.onBroken();
		}
	}

	restart(): void {
		this.#isServing = true;
	}

	#beginPass(): void {
		if (this.#isInPass) {
			return;
		}

		const {time, profile} = this.#options;
		this.#running = this.#running.filter(({isCancelled}) => !isCancelled);
		this.#waiting = this.#waiting.filter(({isCancelled}) => !isCancelled);
		this.#running.push(...this.#waiting.splice(0, profile.slots - this.#running.length));
		if (this.#running.length === 0) {
			return;
		}

		const writers = this.#running.filter(({unreadTokens}) => unreadTokens === 0);
		const readTokens = this.#readPrompts();
		const stepsMs = writers.length === 0 ? 0 : profile.stepsPerPass * (profile.stepMs + (profile.stepMsPerRequest * writers.length));
		this.#isInPass = true;
		time.schedule(((readTokens * 1000 / profile.prefillTokensPerSecond) + stepsMs) * this.pace, () => {
			this.#endPass(writers);
		});
	}

	/** @returns the number of tokens read */
	#readPrompts(): number {
		let budget = this.#options.profile.prefillTokensPerPass;
		let read = 0;
		for (const work of this.#running) {
			const tokens = Math.min(work.unreadTokens, budget);
			work.unreadTokens -= tokens;
			budget -= tokens;
			read += tokens;
		}

		return read;
	}

	#endPass(writers: readonly Work[]): void {
		this.#isInPass = false;
		const {stepsPerPass} = this.#options.profile;
		const before = new Set(writers);
		for (const work of this.#running) {
			if (work.isCancelled) {
				continue;
			}

			if (before.has(work)) {
				work.missingTokens -= stepsPerPass;
			} else if (work.unreadTokens === 0) {
				work.request.onFirstToken();
			}
		}

		const ended = this.#running.filter(({missingTokens, isCancelled}) => missingTokens <= 0 && !isCancelled);
		this.#running = this.#running.filter(({missingTokens}) => missingTokens > 0);
		for (const {request} of ended) {
			this.finished++;
			request.onEnd();
		}

		this.#beginPass();
	}
}

/** Requests per second that one engine finishes with full slots and requests of the usual size. */
export const engineBoundPerSecond = ({slots, stepMs, stepMsPerRequest, prefillTokensPerSecond, usualPromptTokens, usualAnswerTokens}: EngineProfile): number => {
	const readMs = usualPromptTokens * 1000 / prefillTokensPerSecond;
	const writeMs = usualAnswerTokens * (stepMs + (stepMsPerRequest * slots)) / slots;
	return 1000 / (readMs + writeMs);
};
