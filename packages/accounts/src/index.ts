/** Rate and concurrency limits per client account, shared by all entries. */
export type * from './types.js';
export {AccountAdmission} from './account-admission.js';
export type {AccountAdmissionOptions} from './admission-options.js';
export {ANONYMOUS_ACCOUNT} from './constants.js';
