import type {PeerServer} from '@yuccawood/common';
import type {MemberRecord, MemberTable} from '@yuccawood/membership';
import type {ConfigurationSource} from './types.js';

/** Answer of `status.report`: the members that the process knows and the revision that it has in force. */
export type StatusReport = {
	readonly members: readonly MemberRecord[];
	readonly revision: number;
};

/** Registers `status.report` on the server of a process. */
export const serveStatus = ({peerServer, members, source}: {
	readonly peerServer: PeerServer;
	readonly members: MemberTable;
	readonly source: ConfigurationSource;
}): void => {
	peerServer.method('status.report', (): StatusReport => ({members: members.members, revision: source.current?.revision ?? 0}));
};
