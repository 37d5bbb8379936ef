/**
Results of operations that are expected to fail now and then.

Only the default export of ts-results is visible to plain Node.js ESM, so this module is the one place that imports it.
*/
import tsResults, {type Result as TsResult} from 'ts-results';

export const {Ok, Err} = tsResults;

/** Either a value or a typed error. */
export type Result<Value, Failure> = TsResult<Value, Failure>;
