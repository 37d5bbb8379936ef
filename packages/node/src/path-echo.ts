/** Calls between entries and agents that show whether the path to a VM delivers. */
import {type PeerClient, type PeerServer, RpcError} from '@yuccawood/common';
import type {ProbeOutcome} from '@yuccawood/dispatch';
import {PATH_ECHO_TIMEOUT_MS} from './constants.js';

const ECHO_METHOD = 'path.echo';

const isTimeout = (error: unknown): boolean => (error as {readonly code?: string} | undefined)?.code === 'UND_ERR_CONNECT_TIMEOUT';

/** To be called before the peer server listens. */
export const answerEchoes = (peerServer: PeerServer): void => {
	peerServer.method(ECHO_METHOD, () => true);
};

/** Calls the process at the peer address on a new connection, because an open one may have gone silent by itself. */
export const probePath = async (peers: PeerClient, address: string): Promise<ProbeOutcome> => {
	try {
		await peers.call(address, ECHO_METHOD, {}, {timeoutMs: PATH_ECHO_TIMEOUT_MS, useNewConnection: true});
		return 'answered';
	} catch (error) {
		// A connection that does not come about in time is delayed, too; one that is refused shows a sound path.
		return error instanceof RpcError && error.kind === 'unreachable' && !isTimeout(error.cause) ? 'unreachable' : 'no-answer';
	}
};
