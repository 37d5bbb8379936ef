import {
	Err, SystemClock, systemRandom, type Result,
} from '@yuccawood/common';
import {applyEdit, type EditOptions} from './apply-edit.js';
import {collectEdits} from './archive.js';
import {EDIT_TIME_LIMIT_MS} from './constants.js';
import {ConfigurationError} from './errors.js';
import type {StoredHead} from './head.js';
import {TimeLimit} from './key-value-calls.js';
import {concerns, textAfter} from './list-history.js';
import {readHead} from './read-head.js';
import type {AuditEntry, Edit} from './types.js';

/** Text of a section as it was in a revision; `undefined` as text when it did not exist then. Errors: `not-found`, `timeout`. */
export const readSectionAt = async ({keyValue, limit, section, revision}: Pick<EditOptions, 'keyValue'> & {
	readonly limit: TimeLimit;
	readonly section: string;
	readonly revision: number;
}): Promise<Result<{readonly stored: StoredHead; readonly text: string | undefined}, ConfigurationError>> => {
	const read = await readHead({keyValue, limit});
	if (read.err) {
		return read;
	}

	const {head} = read.val;
	if (!Number.isInteger(revision) || revision < 1 || revision > head.revision) {
		return Err(new ConfigurationError({
			kind: 'not-found', detail: `There is no revision ${revision}.`, remedy: `Use a revision from 1 to ${head.revision}; see: yuccawood history.`,
		}));
	}

	const isWanted = (entry: AuditEntry): boolean => entry.revision <= revision && concerns(entry, section);
	const edits = await collectEdits({keyValue, limit}, head, {isEnough: found => found.some(entry => isWanted(entry))});
	return edits.map(found => {
		const entry = found.find(other => isWanted(other));
		return {stored: read.val, text: entry && textAfter(entry, section)};
	});
};

/**
Gives a section the text that it had in an earlier revision. The result is a new revision with its own audit entry.

A section that did not exist then is removed.
*/
export const revertSection = async ({section, revision, author, team, editId, ...options}: EditOptions & Pick<Edit, 'section' | 'author' | 'team' | 'editId'> & {
	readonly revision: number;
}): Promise<Result<AuditEntry, ConfigurationError>> => {
	const {keyValue, clock = new SystemClock(), random = systemRandom(), timeLimitMs = EDIT_TIME_LIMIT_MS} = options;
	const limit = new TimeLimit({clock, random, milliseconds: timeLimitMs});
	const found = await readSectionAt({
		keyValue, limit, section, revision,
	});
	if (found.err) {
		return found;
	}

	const {stored: {head}, text} = found.val;
	const baseRevision = Object.hasOwn(head.sections, section) ? head.sections[section].revision : 0;
	return applyEdit({
		...options,
		timeLimitMs: limit.remainingMs,
		edit: {
			editId, author, team, section, baseRevision, ...(text !== undefined && {text}),
		},
	});
};
