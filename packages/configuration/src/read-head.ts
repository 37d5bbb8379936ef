import {
	Err, type Result,
} from '@yuccawood/common';
import type {KeyValueService} from '@yuccawood/interfaces';
import {HEAD_KEY} from './constants.js';
import {ConfigurationError} from './errors.js';
import {decodeHead, type StoredHead} from './head.js';
import {callWithTimeout, type TimeLimit} from './key-value-calls.js';

const NO_DOCUMENT = {
	kind: 'no-document',
	detail: 'The key-value service holds no configuration document.',
	remedy: 'Write the first one with: yuccawood init FILE.',
} as const;

/** Reads the head, and retries failed reads within the time limit. Errors: `no-document`, `corrupt`, `timeout`. */
export const readHead = async ({keyValue, limit}: {readonly keyValue: KeyValueService; readonly limit: TimeLimit}): Promise<Result<StoredHead, ConfigurationError>> => {
	for (;;) {
		const outcome = await callWithTimeout(async () => keyValue.read(HEAD_KEY), limit.callTimeoutMs);
		if (outcome.ok) {
			if (!outcome.val) {
				return Err(new ConfigurationError(NO_DOCUMENT));
			}

			const {value, version} = outcome.val;
			return decodeHead(value).map(head => ({head, version}));
		}

		if (limit.hasPassed) {
			return Err(new ConfigurationError({
				kind: 'timeout', detail: `The document could not be read: ${outcome.val.message}`, remedy: 'Try again when the key-value service answers.', cause: outcome.val,
			}));
		}

		await limit.pauseBeforeRetry();
	}
};

