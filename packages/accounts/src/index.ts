/** Limits for each client account. */
export type * from './types.js';
