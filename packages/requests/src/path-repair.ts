/** What an entry does about connections that broke or carry no data. */
import type {Call} from './call.js';
import type {EntryContext} from './entry-context.js';
import type {Agent} from './router.js';

type Subject = {readonly agent: Agent; readonly call: Call};

/** Sends the next requests to the agent over new connections. */
export const replacePath = ({pools, metrics, log}: EntryContext, {agent, call}: Subject, cause: string): void => {
	pools.replace(agent.address);
	metrics.count('requests.paths_replaced', {cause});
	log.warn('Replaced the connections to an agent.', {vm: agent.id, cause, requestId: call.requestId});
};

/** Asks why a connection broke. A death of the upstream, or of the whole VM, makes the call a suspect before it is sent again. */
export const attributeDeath = async ({settlement, deaths}: EntryContext, {agent, call}: Subject): Promise<void> => {
	const {requestId, fingerprint} = call;
	const settled = await settlement.query({requestId, address: agent.address, incarnation: agent.incarnation});
	if (settled.state === 'gone') {
		deaths.report({deathId: `${agent.id}:${agent.incarnation}`, vm: agent.id, fingerprints: [fingerprint]});
		return;
	}

	if ('death' in settled && settled.death) {
		deaths.report(settled.death);
	}
};
