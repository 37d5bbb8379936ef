/** One connection of a pool, whose bytes are watched. */
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {ConnectionWatch} from './connection-watch.js';

/** What is dispatched to a pool of watched clients. */
export type WatchedOptions = Dispatcher.DispatchOptions & {
	/** Told which connection carries the send, before it starts. */
	readonly onAssigned: (watch: ConnectionWatch) => void;
};

export class WatchedClient extends Client {
	readonly #watch: ConnectionWatch;

	/** @param onExcess told when bytes follow a complete answer, with the label of its send; the connection is closed */
	constructor(origin: URL, {connect, ...options}: Client.Options & {readonly connect: buildConnector.connector}, onExcess: (label: string) => void) {
		const watch = new ConnectionWatch(onExcess);
		super(origin, {
			...options,
			connect(target, callback) {
				connect(target, (...result) => {
					const [, socket] = result;
					if (socket) {
						watch.watch(socket);
					}

					callback(...result);
				});
			},
		});
		this.#watch = watch;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		(options as Partial<WatchedOptions>).onAssigned?.(this.#watch);
		return super.dispatch(options, handler);
	}
}
