/** Undici client of one connection, whose received bytes are limited by a {@link ConnectionWatch}. */
import {Client, type buildConnector, type Dispatcher} from 'undici';
import {ConnectionWatch, watchedConnector} from '@yuccawood/common';

/** Dispatch options for a pool of watched clients. */
export type WatchedOptions = Dispatcher.DispatchOptions & {
	/** Called with the watch of the connection that was chosen for the send, before the send starts. */
	readonly onAssigned: (watch: ConnectionWatch) => void;
};

export class WatchedClient extends Client {
	readonly #watch: ConnectionWatch;

	/** @param onExtraBytes called when bytes follow a complete answer, with the label of its send; the connection is closed */
	constructor(origin: URL, {connect, ...options}: Client.Options & {readonly connect: buildConnector.connector}, onExtraBytes: (label: string) => void) {
		const watch = new ConnectionWatch(onExtraBytes);
		super(origin, {...options, connect: watchedConnector(connect, watch)});
		this.#watch = watch;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		(options as Partial<WatchedOptions>).onAssigned?.(this.#watch);
		return super.dispatch(options, handler);
	}
}
