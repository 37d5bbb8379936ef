/** Entry and agent processes of the daemon yuccawoodd, and the check of its settings. */
export type * from './types.js';
export {checkSettings} from './check-settings.js';
export {SETTINGS_RULES} from './settings-rules.js';
export {AgentProcess} from './agent-process.js';
export {EntryProcess} from './entry-process.js';
export {Node, type ProcessEnvironment} from './node.js';
