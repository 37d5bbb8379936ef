/**
Connections from callers, and which of them may be closed while this entry stops.

A caller may send a request on an open connection at any time. A connection that was just accepted, or whose last answer has
just ended, probably carries one already, so it is closed only after it has been idle for a while.
*/
import type {Socket} from 'node:net';
import {STOPPING_IDLE_MS} from './constants.js';

type ConnectionState = {
	/** Requests that were read and have no complete answer yet. */
	requests: number;

	/**
	Monotonic time in milliseconds at which the connection was accepted or its last answer ended, and the bytes read until
	then.
	*/
	idleSince: number;
	bytesBeforeIdle: number;
};

export class CallerConnections {
	readonly #states = new Map<Socket, ConnectionState>();
	readonly #now: () => number;

	/** @param now monotonic time in milliseconds */
	constructor(now: () => number) {
		this.#now = now;
	}

	add(socket: Socket): void {
		this.#states.set(socket, {requests: 0, idleSince: this.#now(), bytesBeforeIdle: 0});
		socket.on('close', () => {
			this.#states.delete(socket);
		});
	}

	beginRequest(socket: Socket): void {
		const state = this.#states.get(socket);
		if (state) {
			state.requests++;
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
		for (const socket of this.#states.keys()) {
			socket.destroy();
		}
	}
}
