/** Reactions of an entry to connections that broke or carry no data. */
import type {Call} from './call.js';
import type {EntryContext} from './entry-context.js';
import type {Agent} from './router.js';

type FailedConnection = {readonly agent: Agent; readonly call: Call};

/** Directs further requests for the agent to new connections. */
export const replaceConnections = ({pools, metrics, log}: EntryContext, {agent, call}: FailedConnection, cause: string): void => {
	pools.replace(agent.address);
	metrics.count('requests.paths_replaced', {cause});
	log.warn('Replaced the connections to an agent.', {vm: agent.id, cause, requestId: call.requestId});
};

/** Queries the agent after a connection broke. If the upstream died or the agent cannot be reached, the call becomes a suspect before it is retried. */
export const reportDeathOnBrokenConnection = async ({settlement, deathReporter}: EntryContext, {agent, call}: FailedConnection): Promise<void> => {
	const {requestId, fingerprint, suspects} = call;
	const reply = await settlement.query({requestId, address: agent.address, incarnation: agent.incarnation});
	if (reply.state === 'gone') {
		deathReporter.report({deathId: `${agent.id}:${agent.incarnation}`, vm: agent.id, fingerprints: [fingerprint]}, suspects);
		return;
	}

	if ('death' in reply && reply.death) {
		deathReporter.report(reply.death, suspects);
	}
};
