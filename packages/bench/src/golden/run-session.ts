import {SessionFleet} from './session-fleet.js';
import type {Session} from './sessions.js';

/** Runs a session on a fleet of its own. @returns its transcript. */
export const runSession = async ({run}: Session): Promise<string> => {
	const fleet = new SessionFleet();
	try {
		await run(fleet);
	} finally {
		await fleet.close();
	}

	return fleet.transcript.toString();
};
