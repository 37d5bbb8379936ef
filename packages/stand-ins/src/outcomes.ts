/** Unwrapping of platform outcomes for tests. */
import type {Outcome, PlatformError} from '@yuccawood/interfaces';

/** The value of a call that must succeed. */
export const expectValue = async <Value>(outcome: Outcome<Value>): Promise<Value> => {
	const result = await outcome;
	return result.unwrap();
};

/** The error of a call that must fail. */
export const expectError = async (outcome: Outcome<unknown>): Promise<PlatformError> => {
	const result = await outcome;
	if (result.ok) {
		throw new Error('The call succeeded, although it had to fail.');
	}

	return result.val;
};
