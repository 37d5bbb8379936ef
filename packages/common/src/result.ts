/**
Result type of operations whose failure is an expected outcome.

This is the only module that imports ts-results: Node.js sees only its default export from an ES module.
*/
import tsResults, {type Result as TsResult} from 'ts-results';

export const {Ok, Err} = tsResults;

/** Either a value (`Ok`) or a failure (`Err`). */
export type Result<Value, Failure> = TsResult<Value, Failure>;
