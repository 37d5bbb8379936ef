/**
Connections to one upstream, which send one request at a time and pass the parts of its answer on. Placement limits their
number.
*/
import {Buffer} from 'node:buffer';
import {
	buildConnector, Pool, type Client, type Dispatcher,
} from 'undici';
import {isStatus, type ConnectionWatch} from '@yuccawood/common';
import {CONNECT_TIMEOUT_MS, KEEP_ALIVE_PROBE_MS, UPSTREAM_IDLE_MS} from './constants.js';
import {OutdatedSendError} from './send-result.js';
import {WatchedClient, type WatchedOptions} from './watched-client.js';

export type SendRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: string[];
	readonly body: Uint8Array | undefined;

	/** Id of the request, passed to `onExtraBytes`. */
	readonly requestId?: string;

	/** Whether a send that waited for its connection may still begin. Otherwise it fails with {@link OutdatedSendError}. */
	readonly isCurrent?: () => boolean;

	/** Called when the request is written. */
	readonly onSent?: () => void;

	/** Whether to open a connection at once, rather than to wait one turn for a connection whose answer has just ended. */
	readonly mustNotWait?: boolean;
};

export type UpstreamLinkOptions = {
	readonly address: string;

	/** Called when bytes follow a complete answer, with the id of the request that it answered. The connection is closed. */
	readonly onExtraBytes?: (requestId: string) => void;
};

/** The head of an answer. */
export type AnswerHead = {
	readonly status: number;

	/** By name in lower case. */
	readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;

	/** Names and values in turn, as they were sent. */
	readonly rawHeaders: readonly string[];

	/** Whether the connection carried another request before, so that bytes of an earlier answer may still arrive. */
	readonly isConnectionReused: boolean;
};

/** Receives the parts of one answer. The last call is exactly one of `end` and `error`. */
export interface AnswerSink {
	readonly head: (head: AnswerHead) => void;

	/** @returns whether to continue reading. After false, reading pauses until `resume` of the send is called. */
	readonly data: (chunk: Uint8Array) => boolean;
	readonly end: () => void;

	/** @param wasSent whether the request was at least partly written, so that the upstream may have run it */
	readonly error: (error: Error, wasSent: boolean) => void;
}

/** One send in progress. */
export type Send = {
	readonly abort: (reason: Error) => void;
	readonly resume: () => void;
};

const headerText = (value: Uint8Array | string): string => typeof value === 'string' ? value : Buffer.from(value).toString('latin1');

export class UpstreamLink {
	readonly #pool: Pool;

	#justFreedConnections = 0;

	constructor({address, onExtraBytes = () => undefined}: UpstreamLinkOptions) {
		const connect = buildConnector({timeout: CONNECT_TIMEOUT_MS, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS});
		this.#pool = new Pool(`http://${address}`, {
			pipelining: 1,
			connect,
			factory: (origin, options) => new WatchedClient(origin, {...options as Client.Options, connect}, onExtraBytes),
			keepAliveTimeout: UPSTREAM_IDLE_MS,
			keepAliveMaxTimeout: UPSTREAM_IDLE_MS,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	send(request: SendRequest, sink: AnswerSink): Send {
		let controller: Dispatcher.DispatchController | undefined;
		let wasSent = false;
		let isOver = false;

		/** Whether undici gets the request right after the look at its caller, so that it need not be checked once more. */
		let isSendingNow = false;

		/** Whether the answer has ended or failed in undici, so that an abort could hit another send on the same connection. */
		let isComplete = false;
		let abortReason: Error | undefined;
		const finish = (call: () => void): void => {
			if (!isOver) {
				isOver = true;
				call();
			}
		};

		let watch: ConnectionWatch | undefined;
		const options: WatchedOptions = {
			method: request.method, path: request.path, headers: request.headers, body: request.body,
			onAssigned(assigned) {
				watch = assigned;
			},
		};
		const handler: Dispatcher.DispatchHandler = {
			onRequestStart(started: Dispatcher.DispatchController) {
				controller = started;
				if (!abortReason && !isSendingNow && request.isCurrent?.() === false) {
					abortReason = new OutdatedSendError('the connection took too long to open');
				}

				if (abortReason) {
					started.abort(abortReason);
					return;
				}

				wasSent = true;
				watch?.begin(request.requestId ?? '');
				request.onSent?.();
			},
			onResponseStart(started: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[] | undefined>) {
				watch?.recordHead(status);
				if (!isOver && status >= 200 && isStatus(status)) {
					sink.head({
						status, headers, isConnectionReused: watch?.isReused ?? false,
						rawHeaders: ((started.rawHeaders ?? []) as unknown as ReadonlyArray<Uint8Array | string>).map(value => headerText(value)),
					});
				}
			},
			onResponseData(started: Dispatcher.DispatchController, chunk: Uint8Array) {
				watch?.recordBody(chunk.byteLength);
				if (!isOver && !sink.data(chunk)) {
					started.pause();
				}
			},
			onResponseEnd: () => {
				isComplete = true;
				this.#recordFreedConnection();
				watch?.end();
				finish(() => {
					if (watch?.hasFailed) {
						sink.error(new Error('the connection was reset before the answer was complete'), wasSent);
					} else {
						sink.end();
					}
				});
			},
			onResponseError(_controller: Dispatcher.DispatchController, error: Error) {
				isComplete = true;
				if (wasSent) {
					watch?.abandon();
				}

				finish(() => {
					sink.error(error, wasSent);
				});
			},
		};
		const dispatch = ({isChecked}: {readonly isChecked: boolean}): void => {
			if (!isOver) {
				isSendingNow = isChecked;
				this.#pool.dispatch(options, handler);
				isSendingNow = false;
			}
		};

		if (this.#justFreedConnections > 0 && !request.mustNotWait) {
			setImmediate(dispatch, {isChecked: false});
		} else {
			dispatch({isChecked: true});
		}

		return {
			abort(reason) {
				if (isComplete) {
					return;
				}

				abortReason = reason;
				if (wasSent && watch) {
					// Undici's own abort would open a new connection and then drop the request.
					watch.abort(reason);
				} else {
					controller?.abort(reason);
				}

				finish(() => {
					sink.error(reason, wasSent);
				});
			},
			resume() {
				controller?.resume();
			},
		};
	}

	/** Closes idle connections now, and the others after their requests have ended. */
	close(): void {
		void this.#closePool();
	}

	/**
	Undici uses a connection again one turn of the event loop after the end of an answer. A request that is sent before
	would open another connection.
	*/
	#recordFreedConnection(): void {
		this.#justFreedConnections++;
		setImmediate(() => {
			setImmediate(() => {
				this.#justFreedConnections--;
			});
		});
	}

	async #closePool(): Promise<void> {
		try {
			await this.#pool.close();
		} catch {
			// A connection that failed while it was being closed is closed, too.
		}
	}
}
