/** Configuration document: format, checks, edits, distribution. */
export type * from './types.js';
