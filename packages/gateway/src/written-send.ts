/** One request of which it is not known whether it has reached its upstream. */
import type {GatewayContext} from './gateway-context.js';
import type {SendRequest} from './upstream-link.js';
import type {ConnectedUpstream} from './upstream-states.js';

/** Approximate size on the wire. */
const requestBytes = ({path, headers, body}: SendRequest): number =>
	path.length + headers.reduce((sum, text) => sum + text.length + 2, 0) + (body?.byteLength ?? 0);

export type WrittenSendOptions = {
	readonly context: Pick<GatewayContext, 'clock' | 'states' | 'pathProbes'>;
	readonly state: ConnectedUpstream;

	/** Time in milliseconds after which an answer that has not begun counts as delayed on its way. */
	readonly pathSilenceMs: () => number;
};

export class WrittenSend {
	readonly #options: WrittenSendOptions;
	readonly #key: symbol;
	readonly #writtenAt: number;

	/** To be created when the request is written. */
	constructor(options: WrittenSendOptions, request: SendRequest) {
		const {context: {clock, pathProbes}, state, pathSilenceMs} = options;
		this.#options = options;
		this.#writtenAt = clock.monotonic();
		this.#key = state.underWay.add(this.#writtenAt, requestBytes(request));
		pathProbes.watch(state, pathSilenceMs());
	}

	/** Called when the answer begins. */
	confirm(): void {
		this.#options.state.underWay.confirm(this.#key, this.#moment);
	}

	/** Called when the send ends. */
	end(): void {
		this.#options.state.underWay.abandon(this.#key, this.#moment);
	}

	/**
	Time in milliseconds until the request should go elsewhere because its upstream leaves and must not get it late; undefined
	if it doesn't leave or has the request.
	*/
	get msUntilMove(): number | undefined {
		const {context: {clock, states}, state, pathSilenceMs} = this.#options;
		const isLeaving = state.isLeaving || !states.has(state.upstream.key);
		return isLeaving && state.underWay.has(this.#key) ? Math.max(0, this.#writtenAt + pathSilenceMs() - clock.monotonic()) : undefined;
	}

	get #moment(): {readonly now: number; readonly silenceMs: number} {
		const {context: {clock}, pathSilenceMs} = this.#options;
		return {now: clock.monotonic(), silenceMs: pathSilenceMs()};
	}
}
