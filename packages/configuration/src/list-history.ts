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

	/** List only edits that changed this section. */
	readonly section?: string;

	/** Maximum number of entries. */
	readonly count?: number;
};

/** Text of a section after an edit; `undefined` when the edit removed the section or did not change it. */
export const sectionTextAfter = ({section, text}: AuditEntry, name: string): string | undefined => {
	if (section !== WHOLE_DOCUMENT) {
		return section === name ? text : undefined;
	}

	const sections = splitDocument(text ?? '');
	return Object.hasOwn(sections, name) ? sections[name] : undefined;
};

export const changesSection = (entry: AuditEntry, section: string): boolean => entry.section === section
	|| (entry.section === WHOLE_DOCUMENT && sectionTextAfter(entry, section) !== undefined);

type History = {
	readonly stored: StoredHead;
	readonly edits: readonly AuditEntry[];
};

/** Lists audit entries from the newest to the oldest, and the head from which the list starts. */
export const listHistory = async ({keyValue, limit, section, count = 20}: HistoryOptions): Promise<Result<History, ConfigurationError>> => {
	const read = await readHead({keyValue, limit});
	if (read.err) {
		return read;
	}

	const select = (edits: readonly AuditEntry[]): readonly AuditEntry[] => section === undefined ? edits : edits.filter(entry => changesSection(entry, section));
	const edits = await collectEdits({keyValue, limit}, read.val.head, {isEnough: found => select(found).length >= count});
	return edits.map(found => ({stored: read.val, edits: select(found).slice(0, count)}));
};
