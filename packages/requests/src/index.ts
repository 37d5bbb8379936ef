/** The request path: an entry's HTTP server, routing and retries, and an agent's execution of requests and queries about their outcome. */
export {EntryServer} from './entry-server.js';
export type {EntryServerOptions} from './entry-server-options.js';
export {AgentRequests} from './agent-requests.js';
export type {AgentRequestsOptions} from './agent-requests-options.js';
export {RequestError, type ExecutionOutcome, type RequestErrorKind} from './errors.js';
export type {
	AnswerQuery, AnswerReply, DeathReport, KeptAnswer, SettleReply, SettleQuery,
} from './types.js';
