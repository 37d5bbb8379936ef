/** Undici client of one connection, whose received bytes are limited by a {@link ConnectionWatch}. For pools, as their factory. */
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {ConnectionWatch} from './connection-watch.js';

export type GuardedClientOptions = Client.Options & {readonly connect: buildConnector.connector};

type Listener = (...parameters: readonly unknown[]) => unknown;

/** Methods of undici's handlers, of which each handler has some: those of the former interface, and those of the present one. */
type HandlerMethod =
	'onConnect' | 'onHeaders' | 'onData' | 'onComplete' | 'onError' | 'onUpgrade' | 'onBodySent' | 'onResponseStarted' | 'onRequestSent'
	| 'onRequestStart' | 'onRequestUpgrade' | 'onResponseStart' | 'onResponseData' | 'onResponseEnd' | 'onResponseError';

type Listeners = Partial<Record<HandlerMethod, Listener>>;

/** @returns a handler that also tells the watch how far the answer is */
const watchedHandler = (handler: Dispatcher.DispatchHandler, watch: ConnectionWatch): Dispatcher.DispatchHandler => {
	let wasSent = false;
	const begin = (): void => {
		wasSent = true;
		watch.begin('');
	};

	const abandon = (): void => {
		if (wasSent) {
			watch.abandon();
		}
	};

	const end = (): void => {
		watch.end();
	};

	const observers: Listeners = {
		onConnect: begin,
		onRequestStart: begin,
		onHeaders(status) {
			watch.recordHead(status as number);
		},
		onResponseStart(_controller, status) {
			watch.recordHead(status as number);
		},
		onData(chunk) {
			watch.recordBody((chunk as Uint8Array).byteLength);
		},
		onResponseData(_controller, chunk) {
			watch.recordBody((chunk as Uint8Array).byteLength);
		},
		onComplete: end,
		onResponseEnd: end,
		onError: abandon,
		onResponseError: abandon,
	};
	const listeners = handler as Listeners;
	return new Proxy(handler, {
		get(target, name) {
			const listener = listeners[name as HandlerMethod];
			const observe = observers[name as HandlerMethod];
			if (typeof listener !== 'function') {
				return listener;
			}

			return (...parameters: readonly unknown[]) => {
				observe?.(...parameters);
				return listener.apply(target, parameters as unknown[]);
			};
		},
	});
};

/** A watch that follows the connections of a client. */
export const watchedConnector = (connect: buildConnector.connector, watch: ConnectionWatch): buildConnector.connector => (target, callback) => {
	connect(target, (...result) => {
		const [, socket] = result;
		if (socket) {
			watch.watch(socket);
		}

		callback(...result);
	});
};

export class GuardedClient extends Client {
	readonly #watch: ConnectionWatch;

	constructor(origin: string | URL, {connect, ...options}: GuardedClientOptions) {
		const watch = new ConnectionWatch();
		super(origin, {...options, connect: watchedConnector(connect, watch)});
		this.#watch = watch;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, watchedHandler(handler, this.#watch));
	}
}

/** Factory for the connections of a pool. */
export const createGuardedClient = (origin: string | URL, options: Client.Options): GuardedClient => new GuardedClient(origin, options as GuardedClientOptions);
