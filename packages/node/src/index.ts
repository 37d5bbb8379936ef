/** Entries and agents on the users' platform. */
export {runEntry} from './entry-node.js';
export {runAgent} from './agent-node.js';
