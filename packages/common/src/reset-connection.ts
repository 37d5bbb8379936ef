import type {Socket} from 'node:net';

/**
Closes a connection with a reset, so that the kernel drops what it has not sent. The socket fails with the reason, as after
`destroy`.
*/
export const resetConnection = (socket: Socket, reason?: Error): void => {
	if (socket.destroyed) {
		return;
	}

	// Node.js resets without a reason, which this method adds.
	const destroy = socket.destroy.bind(socket);
	socket.destroy = () => destroy(reason);
	socket.resetAndDestroy();
};

/**
Makes whoever closes the connection while it is busy reset it. Who closes it before an answer is complete has given up on the
request, which the kernel would still deliver after an ordinary close, however late.
*/
export const resetWhile = (socket: Socket, isBusy: () => boolean): void => {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = reason => {
		if (!isBusy()) {
			return destroy(reason);
		}

		socket.destroy = destroy;
		resetConnection(socket, reason);
		return socket;
	};
};
