/** Process phases, draining and graceful shutdown. */
export type * from './types.js';
export {ProcessLifecycle} from './process-lifecycle.js';
export {ShutdownSequence, type ShutdownStep, type StepReport} from './shutdown-sequence.js';
export {WorkInProgress} from './work-in-progress.js';
export {drainOnSignals, type SignalSource} from './signals.js';
export {ENTRY_GRACE_MS} from './constants.js';
