import {
	Err, Ok, SILENT_LOG, SystemClock, systemRandom, type Result,
} from '@yuccawood/common';
import type {EditOptions} from './apply-edit.js';
import {EDIT_TIME_LIMIT_MS, HEAD_KEY, MAX_HEAD_BYTES} from './constants.js';
import {splitDocument} from './document.js';
import {ConfigurationError} from './errors.js';
import {byteLength, decodeHead, encodeHead} from './head.js';
import {callWithTimeout, TimeLimit} from './key-value-calls.js';
import {parseConfiguration} from './parse-configuration.js';
import type {AuditEntry, Edit, Head} from './types.js';

/** Section name that stands for the whole document in the audit entry of the first one. */
export const WHOLE_DOCUMENT = '*';

const EXISTS = {
	kind: 'exists', detail: 'The key-value service holds a configuration document already.', remedy: 'Change it with: yuccawood apply FILE --section SECTION.',
} as const;

const firstHead = (text: string, entry: AuditEntry): Head => ({
	revision: 1,
	sections: Object.fromEntries(Object.entries(splitDocument(text)).map(([name, body]) => [name, {text: body, revision: 1}])),
	edits: [entry],
	floor: 1,
});

type FirstDocumentOptions = EditOptions & Pick<Edit, 'author' | 'team' | 'editId'> & {
	/** Text of the whole document. */
	readonly text: string;
};

/** Checks and writes the first document, as revision 1. Errors: `faults`, `exists`, `too-large`, `timeout`, `unknown-outcome`. */
export const initialiseDocument = async (options: FirstDocumentOptions): Promise<Result<AuditEntry, ConfigurationError>> => {
	const {
		keyValue, text, author, team, editId, clock = new SystemClock(), random = systemRandom(), log = SILENT_LOG, timeLimitMs = EDIT_TIME_LIMIT_MS,
	} = options;
	const {faults} = parseConfiguration(text);
	if (faults.length > 0) {
		return Err(new ConfigurationError({
			kind: 'faults',
			detail: `The document has ${faults.length} faults.`,
			remedy: 'Correct the lines named and try again.',
			faults,
		}));
	}

	const entry: AuditEntry = {
		editId, author, team, section: WHOLE_DOCUMENT, baseRevision: 0, text, revision: 1, time: clock.now(),
	};
	const value = encodeHead(firstHead(text, entry));
	if (byteLength(value) > MAX_HEAD_BYTES) {
		return Err(new ConfigurationError({
			kind: 'too-large',
			detail: `The first document takes ${byteLength(value)} bytes with its audit entry; the limit is ${MAX_HEAD_BYTES}.`,
			remedy: 'Write a part of it and add the other sections with: yuccawood apply.',
		}));
	}

	const limit = new TimeLimit({clock, random, milliseconds: timeLimitMs});
	const outcome = await createHead({
		keyValue, limit, value, editId,
	});
	if (outcome.err) {
		return outcome;
	}

	log.audit('First document written.', {...entry, text: undefined});
	return Ok(entry);
};

const createHead = async ({keyValue, limit, value, editId}: Pick<EditOptions, 'keyValue'> & {
	readonly limit: TimeLimit;
	readonly value: string;
	readonly editId: string;
}): Promise<Result<void, ConfigurationError>> => {
	let mayBeWritten = false;
	while (!limit.hasPassed) {
		const outcome = await callWithTimeout(async () => keyValue.write(HEAD_KEY, value, {expectedVersion: 0}), limit.callTimeoutMs);
		if (outcome.ok) {
			return Ok(undefined);
		}

		if (outcome.val.kind === 'conflict') {
			const found = await callWithTimeout(async () => keyValue.read(HEAD_KEY), limit.callTimeoutMs);
			if (found.ok && found.val) {
				const isMine = decodeHead(found.val.value).map(({edits}) => edits.some(edit => edit.editId === editId)).unwrapOr(false);
				return isMine ? Ok(undefined) : Err(new ConfigurationError(EXISTS));
			}
		}

		mayBeWritten ||= outcome.val.kind === 'unknown-outcome';
		await limit.pauseBeforeRetry();
	}

	return Err(mayBeWritten
		? new ConfigurationError({kind: 'unknown-outcome', detail: 'The first document may have been written: the answer was lost.', remedy: 'Look with: yuccawood history, before writing it again.'})
		: new ConfigurationError({kind: 'timeout', detail: 'The first document was not written within the time limit.', remedy: 'Try again when the key-value service answers.'}));
};
