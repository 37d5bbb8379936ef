/** The value of the head key: encoding, decoding and the step from one revision to the next. */
import {Buffer} from 'node:buffer';
import {
	Err, Ok, describeError, type Result,
} from '@yuccawood/common';
import {ConfigurationError} from './errors.js';
import type {AuditEntry, Head, Sections} from './types.js';

/** A head as read, with the version of its key. */
export type StoredHead = {
	readonly head: Head;
	readonly version: number;
};

export const encodeHead = (head: Head): string => JSON.stringify(head);

export const byteLength = (text: string): number => Buffer.byteLength(text);

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Whether a value from another process has the form of sections. */
export const isSections = (value: unknown): value is Sections => isRecord(value)
	&& Object.values(value).every(section => isRecord(section) && typeof section.text === 'string' && Number.isSafeInteger(section.revision));

const isHead = (value: unknown): value is Head => isRecord(value)
	&& Number.isSafeInteger(value.revision) && Number.isSafeInteger(value.floor)
	&& isSections(value.sections) && Array.isArray(value.edits);

/** Decodes the value of the head key; error `corrupt` when it has another form. */
export const decodeHead = (text: string): Result<Head, ConfigurationError> => {
	const remedy = 'Restore the key configuration/head from a backup of the key-value service.';
	try {
		const value: unknown = JSON.parse(text);
		return isHead(value) ? Ok(value) : Err(new ConfigurationError({kind: 'corrupt', detail: 'The stored head is not a document.', remedy}));
	} catch (error) {
		return Err(new ConfigurationError({
			kind: 'corrupt', detail: `The stored head is not JSON: ${describeError(error)}.`, remedy, cause: error,
		}));
	}
};

/** Sections after one edit of the given revision. */
export const changeSection = (sections: Sections, {section, text, revision}: Pick<AuditEntry, 'section' | 'text' | 'revision'>): Sections => {
	const {[section]: _previous, ...others} = sections;
	return text === undefined ? others : {...others, [section]: {text, revision}};
};

/** The head after one edit, with its audit entry in the same value. */
export const nextHead = (head: Head, entry: AuditEntry): Head => ({
	...head,
	revision: entry.revision,
	sections: changeSection(head.sections, entry),
	edits: [...head.edits, entry],
});
