/** What an entry does about connections that broke or carry no data. */
import type {Call} from './call.js';
import type {EntryContext} from './entry-context.js';
import type {Agent} from './router.js';

type FailedConnection = {readonly agent: Agent; readonly call: Call};

/** Sends the next requests to the agent over new connections. */
export const replaceConnections = ({pools, metrics, log}: EntryContext, {agent, call}: FailedConnection, cause: string): void => {
	pools.replace(agent.address);
	metrics.count('requests.paths_replaced', {cause});
	log.warn('Replaced the connections to an agent.', {vm: agent.id, cause, requestId: call.requestId});
};

/** Asks why a connection broke. A death of the upstream, or of the whole VM, makes the call a suspect before it is sent again. */
export const reportDeathOnBrokenConnection = async ({settlement, deathReporter}: EntryContext, {agent, call}: FailedConnection): Promise<void> => {
	const {requestId, fingerprint} = call;
	const settled = await settlement.query({requestId, address: agent.address, incarnation: agent.incarnation});
	if (settled.state === 'gone') {
		deathReporter.report({deathId: `${agent.id}:${agent.incarnation}`, vm: agent.id, fingerprints: [fingerprint]});
		return;
	}

	if ('death' in settled && settled.death) {
		deathReporter.report(settled.death);
	}
};
