/** Start order, drain and graceful shutdown. */
export type * from './types.js';
