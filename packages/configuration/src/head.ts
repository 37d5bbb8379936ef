/** The head: the value of the key that holds the current document. Encoding, decoding, and the next head after an edit. */
import {Buffer} from 'node:buffer';
import {
	Err, Ok, describeError, type Result,
} from '@yuccawood/common';
import {ConfigurationError} from './errors.js';
import type {AuditEntry, Head, Sections} from './types.js';

/** A head as read, with the version of its key for the compare-and-swap. */
export type StoredHead = {
	readonly head: Head;
	readonly version: number;
};

export const encodeHead = (head: Head): string => JSON.stringify(head);

export const byteLength = (text: string): number => Buffer.byteLength(text);

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null && !Array.isArray(value);

/** Whether a decoded value from another process or the store has the shape of `Sections`. */
export const isSections = (value: unknown): value is Sections => isRecord(value)
	&& Object.values(value).every(section => isRecord(section) && typeof section.text === 'string' && Number.isSafeInteger(section.revision));

const isHead = (value: unknown): value is Head => isRecord(value)
	&& Number.isSafeInteger(value.revision) && Number.isSafeInteger(value.floor)
	&& isSections(value.sections) && Array.isArray(value.edits);

/** Decodes the value of the head key. Error `corrupt` when it is not JSON or has another shape. */
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

/** Applies one edit to the sections; an edit without text removes the section. */
export const changeSection = (sections: Sections, {section, text, revision}: Pick<AuditEntry, 'section' | 'text' | 'revision'>): Sections => {
	const {[section]: _previous, ...others} = sections;
	return text === undefined ? others : {...others, [section]: {text, revision}};
};

/** The head after one edit. The audit entry is in the same value, so that both are written atomically. */
export const nextHead = (head: Head, entry: AuditEntry): Head => ({
	...head,
	revision: entry.revision,
	sections: changeSection(head.sections, entry),
	edits: [...head.edits, entry],
});
