/** Limits for each client account. */
export type * from './types.js';
export {AccountAdmission} from './account-admission.js';
export type {AccountAdmissionOptions} from './admission-options.js';
export {ANONYMOUS_ACCOUNT} from './constants.js';
