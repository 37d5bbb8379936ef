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
