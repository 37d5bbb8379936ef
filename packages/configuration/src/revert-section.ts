import {
	Err, SystemClock, systemRandom, type Result,
} from '@yuccawood/common';
import {applyEdit, type EditOptions} from './apply-edit.js';
import {collectEdits} from './archive.js';
import {EDIT_TIME_LIMIT_MS} from './constants.js';
import {ConfigurationError} from './errors.js';
import type {StoredHead} from './head.js';
import {TimeLimit} from './key-value-calls.js';
import {changesSection, sectionTextAfter} from './list-history.js';
import {readHead} from './read-head.js';
import type {AuditEntry, Edit} from './types.js';

/** Reads the text of a section as of a revision; the text is `undefined` when the section did not exist then. Errors: `not-found`, `timeout`. */
export const readSectionAtRevision = async ({keyValue, limit, section, revision}: Pick<EditOptions, 'keyValue'> & {
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

	const isEarlierChange = (entry: AuditEntry): boolean => entry.revision <= revision && changesSection(entry, section);
	const edits = await collectEdits({keyValue, limit}, head, {isEnough: found => found.some(entry => isEarlierChange(entry))});
	return edits.map(found => {
		const entry = found.find(other => isEarlierChange(other));
		return {stored: read.val, text: entry && sectionTextAfter(entry, section)};
	});
};

/**
Restores the text that a section had in an earlier revision, as a new revision with its own audit entry.

A section that did not exist in that revision is removed.
*/
export const revertSection = async ({section, revision, author, team, editId, ...options}: EditOptions & Pick<Edit, 'section' | 'author' | 'team' | 'editId'> & {
	readonly revision: number;
}): Promise<Result<AuditEntry, ConfigurationError>> => {
	const {keyValue, clock = new SystemClock(), random = systemRandom(), timeLimitMs = EDIT_TIME_LIMIT_MS} = options;
	const limit = new TimeLimit({clock, random, milliseconds: timeLimitMs});
	const found = await readSectionAtRevision({
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
