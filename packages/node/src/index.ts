/** Entry and agent processes for the users' platform. */
export {runEntry} from './entry-node.js';
export {runAgent} from './agent-node.js';
