/** Interfaces to the platform and their HTTP adapters. */
export type * from './types.js';
export {PlatformError, type PlatformErrorKind} from './errors.js';
