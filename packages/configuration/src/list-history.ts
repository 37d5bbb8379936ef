import {type Result} from '@yuccawood/common';
import type {KeyValueService} from '@yuccawood/interfaces';
import {collectEdits} from './archive.js';
import type {ConfigurationError} from './errors.js';
import {splitDocument} from './document.js';
import type {StoredHead} from './head.js';
import {WHOLE_DOCUMENT} from './initialise-document.js';
import type {TimeLimit} from './key-value-calls.js';
import {readHead} from './read-head.js';
import type {AuditEntry} from './types.js';

type HistoryOptions = {
	readonly keyValue: KeyValueService;
	readonly limit: TimeLimit;

	/** Only edits that changed this section. */
	readonly section?: string;

	/** Largest number of entries. */
	readonly count?: number;
};

/** The text that an edit gave a section: absent when it removed the section or did not concern it. */
export const textAfter = ({section, text}: AuditEntry, wanted: string): string | undefined => {
	if (section !== WHOLE_DOCUMENT) {
		return section === wanted ? text : undefined;
	}

	const sections = splitDocument(text ?? '');
	return Object.hasOwn(sections, wanted) ? sections[wanted] : undefined;
};

export const concerns = (entry: AuditEntry, section: string): boolean => entry.section === section
	|| (entry.section === WHOLE_DOCUMENT && textAfter(entry, section) !== undefined);

type History = {
	readonly stored: StoredHead;
	readonly edits: readonly AuditEntry[];
};

/** Audit entries from the newest to the oldest. */
export const listHistory = async ({keyValue, limit, section, count = 20}: HistoryOptions): Promise<Result<History, ConfigurationError>> => {
	const read = await readHead({keyValue, limit});
	if (read.err) {
		return read;
	}

	const select = (edits: readonly AuditEntry[]): readonly AuditEntry[] => section === undefined ? edits : edits.filter(entry => concerns(entry, section));
	const edits = await collectEdits({keyValue, limit}, read.val.head, {isEnough: found => select(found).length >= count});
	return edits.map(found => ({stored: read.val, edits: select(found).slice(0, count)}));
};
