/** The operators' command line `yuccawood`. */
export {runProgram} from './program.js';
export {EXIT_CODES} from './constants.js';
export type {Terminal} from './context.js';
