/** Checks a traffic configuration before it is sent. */
export type {Finding, FindingKind} from './types.js';
export {checkConfiguration} from './check-configuration.js';
export {configurationChanges, type Change} from './configuration-changes.js';
export {runProgram, type ProgramOptions} from './program.js';
