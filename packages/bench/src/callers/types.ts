/** What became of one call, as its caller saw it. */
export type CallRecord = {
	readonly kind: 'chat' | 'stream' | 'order';

	/** Idempotency key of an order, otherwise empty. */
	readonly key: string;
	readonly startedAt: number;
	readonly milliseconds: number;

	/**
	- `answered`: the whole right answer arrived.
	- `not-run`, `completed`, `unknown`: the outcome that the system named.
	- `broken`: the connection broke without an outcome.
	- `wrong`: an answer that is partial, mixed or of another request.
	*/
	readonly result: 'answered' | 'not-run' | 'completed' | 'unknown' | 'broken' | 'wrong';

	/** Manifest of the version that answered a chat. */
	readonly manifest?: string;
	readonly status?: number;
	readonly detail?: string;

	/** Id that the system gave the request, when it named one. */
	readonly requestId?: string;
};
