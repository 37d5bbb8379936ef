/**
Archives of audit entries that no longer fit in the head.

The name of an archive key ends in the first revision that it holds. Entries never change and each revision has exactly
one, so two writers that archive at the same time write the same entries and can differ only in their number. The
archive that was created first is kept.
*/
import {
	Err, Ok, type Result,
} from '@yuccawood/common';
import type {KeyValueService, PlatformError} from '@yuccawood/interfaces';
import {
	ARCHIVE_BATCH_ENTRIES, ARCHIVE_PREFIX, MAX_HEAD_BYTES, MAX_HEAD_EDITS,
} from './constants.js';
import {ConfigurationError} from './errors.js';
import {byteLength, encodeHead} from './head.js';
import {callWithTimeout, type TimeLimit} from './key-value-calls.js';
import type {AuditEntry, Head} from './types.js';

type Archive = {
	readonly edits: readonly AuditEntry[];

	/** First revision of the preceding archive, which completes its key; absent in the oldest archive. */
	readonly previous?: number;
};

type ArchiveAccess = {readonly keyValue: KeyValueService; readonly limit: TimeLimit};

const archiveKey = (revision: number): string => `${ARCHIVE_PREFIX}${revision}`;

const timeoutError = (cause: PlatformError): ConfigurationError => new ConfigurationError({
	kind: 'timeout', detail: `The audit archive did not answer: ${cause.message}`, remedy: 'Try again when the key-value service answers.', cause,
});

/** Reads one archive, and retries failed reads within the time limit. */
const readArchive = async ({keyValue, limit}: ArchiveAccess, revision: number): Promise<Result<Archive | undefined, ConfigurationError>> => {
	for (;;) {
		const outcome = await callWithTimeout(async () => keyValue.read(archiveKey(revision)), limit.callTimeoutMs);
		if (outcome.ok) {
			return Ok(outcome.val ? JSON.parse(outcome.val.value) as Archive : undefined);
		}

		if (limit.hasPassed) {
			return Err(timeoutError(outcome.val));
		}

		await limit.pauseBeforeRetry();
	}
};

/** Creates an archive unless it exists. @returns the stored archive, which may be one of another writer. */
const createArchive = async (store: ArchiveAccess, revision: number, archive: Archive): Promise<Result<Archive, ConfigurationError>> => {
	for (;;) {
		const outcome = await callWithTimeout(
			async () => store.keyValue.write(archiveKey(revision), JSON.stringify(archive), {expectedVersion: 0}),
			store.limit.callTimeoutMs,
		);
		if (outcome.ok) {
			return Ok(archive);
		}

		if (outcome.val.kind === 'conflict') {
			const existing = await readArchive(store, revision);
			return existing.map(found => found ?? archive);
		}

		if (store.limit.hasPassed) {
			return Err(timeoutError(outcome.val));
		}

		await store.limit.pauseBeforeRetry();
	}
};

const needsArchive = (head: Head): boolean => head.edits.length > MAX_HEAD_EDITS || byteLength(encodeHead(head)) > MAX_HEAD_BYTES;

/**
Moves the oldest audit entries to archive keys until the head is within its limits. The newest entry always stays in the head.

Errors: `timeout`, and `too-large` when the head exceeds the limits with a single entry.
*/
export const archiveOldEdits = async (store: ArchiveAccess, head: Head): Promise<Result<Head, ConfigurationError>> => {
	let current = head;
	while (needsArchive(current)) {
		const {floor, edits, lastArchive} = current;
		const oldest = edits.slice(0, Math.min(ARCHIVE_BATCH_ENTRIES, edits.length - 1));
		if (oldest.length === 0) {
			return Err(new ConfigurationError({
				kind: 'too-large',
				detail: `The document would take ${byteLength(encodeHead(current))} bytes with the record of this edit; the limit is ${MAX_HEAD_BYTES}.`,
				remedy: 'Remove sections that are no longer used, or shorten this one.',
			}));
		}

		const created = await createArchive(store, floor, {edits: oldest, ...(lastArchive !== undefined && {previous: lastArchive})});
		if (created.err) {
			return created;
		}

		const count = created.val.edits.length;
		current = {
			...current, edits: edits.slice(count), floor: floor + count, lastArchive: floor,
		};
	}

	return Ok(current);
};

/**
Collects audit entries from the newest to the oldest, down to revision `downTo`: those in the head, then those in archives.

Reads no further archive when `isEnough` holds for the entries found so far.
*/
export const collectEdits = async (store: ArchiveAccess, head: Head, {downTo = 1, isEnough = () => false}: {
	readonly downTo?: number;
	readonly isEnough?: (edits: readonly AuditEntry[]) => boolean;
} = {}): Promise<Result<readonly AuditEntry[], ConfigurationError>> => {
	const found = [...head.edits].reverse();
	let next = head.lastArchive;
	let {floor} = head;
	while (next !== undefined && floor > downTo && !isEnough(found)) {
		const outcome = await readArchive(store, next);
		if (outcome.err) {
			return outcome;
		}

		if (!outcome.val) {
			return Err(new ConfigurationError({
				kind: 'corrupt', detail: `The audit archive ${archiveKey(next)} is missing.`, remedy: 'Restore it from a backup of the key-value service.',
			}));
		}

		found.push(...[...outcome.val.edits].reverse());
		floor = next;
		next = outcome.val.previous;
	}

	return Ok(found.filter(({revision}) => revision >= downTo));
};
