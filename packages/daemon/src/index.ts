/** The daemon yuccawoodd. */
export type * from './types.js';
export {checkSettings} from './check-settings.js';
export {SETTINGS_RULES} from './settings-rules.js';
