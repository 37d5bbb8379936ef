/**
Connections from callers, and which of them may be closed while this entry stops.

A caller may send a request on an open connection at any time. A connection that was just accepted, or whose last answer has
just ended, probably carries one already, so it is closed only after it has been idle for a while.
*/
import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {STOPPING_IDLE_MS} from './constants.js';

/** This entry has closed a caller's connection. */
export class ClosedConnectionError extends Error {}

type ConnectionState = {
	/** Requests that were read and have no complete answer yet. */
	requests: number;

	/**
	Monotonic time in milliseconds at which the connection was accepted or its last answer ended, and the bytes read until
	then.
	*/
	idleSince: number;
	bytesBeforeIdle: number;

	/**
	Earliest monotonic time in milliseconds at which the connection may have been opened; undefined once no request can be
	read that arrived before the accept.
	*/
	openedAt: number | undefined;

	/** Called when the caller ends what it sends, or closes the connection. */
	readonly departures: Set<() => void>;

	/** Whether this entry closes the connection. */
	isClosing: boolean;
};

export class CallerConnections {
	readonly #states = new Map<Socket, ConnectionState>();
	readonly #now: () => number;
	readonly #afterPoll: (call: () => void) => void;

	/** @param now monotonic time in milliseconds @param afterPoll runs a function after the next poll of the sockets, or after the present one */
	constructor(now: () => number, {afterPoll = setImmediate}: {readonly afterPoll?: (call: () => void) => void} = {}) {
		this.#now = now;
		this.#afterPoll = afterPoll;
	}

	/**
	To be called when the connection is accepted.

	@param openedAt earliest monotonic time in milliseconds at which the connection may have been opened
	*/
	add(socket: Socket, openedAt: number): void {
		const now = this.#now();
		const departures = new Set<() => void>();
		const depart = (): void => {
			for (const call of departures) {
				call();
			}
		};

		// The close follows some turns of the event loop after the end.
		socket.once('end', depart);
		socket.once('close', depart);
		const state: ConnectionState = {
			requests: 0, idleSince: now, bytesBeforeIdle: 0, openedAt, departures, isClosing: false,
		};
		this.#states.set(socket, state);
		// The poll that showed the connection did not look at its bytes, and the next one reads all that were there.
		this.#afterPoll(() => {
			this.#afterPoll(() => {
				state.openedAt = undefined;
			});
		});
		socket.on('close', () => {
			this.#states.delete(socket);
		});
	}

	/**
	Earliest monotonic time in milliseconds at which a request may have arrived that is read now. One that the first poll after
	the accept shows may have arrived while its connection waited for that.

	@param readDelayMs longest time for which its bytes may have waited on an accepted connection
	*/
	arrivalOf(socket: Socket, readDelayMs: number): number {
		return this.#states.get(socket)?.openedAt ?? this.#now() - readDelayMs;
	}

	/**
	@returns a signal that aborts when the caller leaves before it has the whole answer, with a {@link ClosedConnectionError} if
	this entry has closed its connection
	*/
	departureDuring(response: ServerResponse, socket: Socket): AbortSignal {
		const controller = new AbortController();
		const state = this.#states.get(socket);
		const departures = state?.departures;
		const depart = (): void => {
			departures?.delete(depart);
			if (!response.writableFinished) {
				controller.abort(state?.isClosing ? new ClosedConnectionError('the connection was closed before the answer was written') : undefined);
			}
		};

		departures?.add(depart);
		response.once('finish', () => {
			departures?.delete(depart);
		});
		response.once('close', depart);
		return controller.signal;
	}

	beginRequest(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state) {
			state.requests++;
			state.openedAt = undefined;
		}
	}

	endRequest(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state) {
			state.requests--;
			state.idleSince = this.#now();
			state.bytesBeforeIdle = socket.bytesRead;
		}
	}

	/** Closes the connections that have been idle for {@link STOPPING_IDLE_MS}. @returns the number of the others */
	closeIdle(): number {
		const idleBefore = this.#now() - STOPPING_IDLE_MS;
		for (const [socket, {requests, idleSince, bytesBeforeIdle}] of this.#states) {
			if (requests === 0 && socket.bytesRead === bytesBeforeIdle && idleSince <= idleBefore) {
				this.#states.delete(socket);
				socket.destroy();
			}
		}

		return this.#states.size;
	}

	closeAll(): void {
		for (const [socket, state] of this.#states) {
			state.isClosing = true;
			socket.destroy();
		}
	}
}
