/** Test helpers that unwrap the results of platform calls. */
import type {Outcome, PlatformError} from '@yuccawood/interfaces';

/** Returns the value of a call and throws if the call failed. */
export const expectValue = async <Value>(outcome: Outcome<Value>): Promise<Value> => {
	const result = await outcome;
	return result.unwrap();
};

/** Returns the error of a call and throws if the call succeeded. */
export const expectError = async (outcome: Outcome<unknown>): Promise<PlatformError> => {
	const result = await outcome;
	if (result.ok) {
		throw new Error('Expected the call to fail, but it succeeded.');
	}

	return result.val;
};
