import {
	Err, Ok, SILENT_LOG, SystemClock, systemRandom, type Clock, type Log, type Random, type Result,
} from '@yuccawood/common';
import type {KeyValueService} from '@yuccawood/interfaces';
import {archiveOldEdits, collectEdits} from './archive.js';
import {checkEdit} from './check-edit.js';
import {EDIT_TIME_LIMIT_MS, HEAD_KEY} from './constants.js';
import {ConfigurationError} from './errors.js';
import {encodeHead, type StoredHead} from './head.js';
import {callWithTimeout, TimeLimit} from './key-value-calls.js';
import {readHead} from './read-head.js';
import type {AuditEntry, Edit} from './types.js';

export type EditOptions = {
	readonly keyValue: KeyValueService;
	readonly clock?: Clock;
	readonly random?: Random;
	readonly log?: Log;
	readonly timeLimitMs?: number;
};

/** Result of one attempt: the edit was written, it failed permanently, or it is to be retried. */
type Attempt =
	| {readonly kind: 'done'; readonly entry: AuditEntry}
	| {readonly kind: 'failed'; readonly error: ConfigurationError}
	| {readonly kind: 'repeat'; readonly reason: string};

const failed = (error: ConfigurationError): Attempt => ({kind: 'failed', error});

/** Makes one edit. Every write is a compare-and-swap on the version of the head, so that a retry can't apply the edit twice. */
class EditWriter {
	readonly #keyValue: KeyValueService;
	readonly #limit: TimeLimit;
	readonly #log: Log;
	readonly #edit: Edit;

	/** Head that the last write with unknown outcome was to replace. */
	#unresolvedBase: StoredHead | undefined;

	constructor({keyValue, limit, log, edit}: {readonly keyValue: KeyValueService; readonly limit: TimeLimit; readonly log: Log; readonly edit: Edit}) {
		this.#keyValue = keyValue;
		this.#limit = limit;
		this.#log = log;
		this.#edit = edit;
	}

	async run(): Promise<Result<AuditEntry, ConfigurationError>> {
		let reason = 'the time limit is zero';
		while (!this.#limit.hasPassed) {
			const attempt = await this.#attempt();
			switch (attempt.kind) {
				case 'done': {
					this.#log.audit('Edit accepted.', {...attempt.entry, text: undefined});
					return Ok(attempt.entry);
				}

				case 'failed': {
					return Err(this.#unresolvedBase && attempt.error.kind === 'timeout' ? this.#timeoutError(attempt.error.message) : attempt.error);
				}

				case 'repeat': {
					({reason} = attempt);
					await this.#limit.pauseBeforeRetry();
				}
			}
		}

		return Err(this.#timeoutError(reason));
	}

	async #attempt(): Promise<Attempt> {
		const read = await readHead({keyValue: this.#keyValue, limit: this.#limit});
		if (read.err) {
			return failed(read.val);
		}

		const earlier = await this.#findOwnEntry(read.val);
		if (earlier.err) {
			return failed(earlier.val);
		}

		if (earlier.val) {
			return {kind: 'done', entry: earlier.val};
		}

		const checked = checkEdit(this.#edit, read.val.head, this.#limit.clock.now());
		if (checked.err) {
			return failed(checked.val);
		}

		const next = await archiveOldEdits({keyValue: this.#keyValue, limit: this.#limit}, checked.val);
		return next.err ? failed(next.val) : this.#write(read.val, encodeHead(next.val), next.val.edits.at(-1)!);
	}

	async #write(stored: StoredHead, value: string, entry: AuditEntry): Promise<Attempt> {
		const outcome = await callWithTimeout(async () => this.#keyValue.write(HEAD_KEY, value, {expectedVersion: stored.version}), this.#limit.callTimeoutMs);
		if (outcome.ok) {
			return {kind: 'done', entry};
		}

		const error = outcome.val;
		if (error.kind === 'too-large') {
			return failed(new ConfigurationError({
				kind: 'too-large', detail: error.message, remedy: 'Remove sections that are no longer used.', cause: error,
			}));
		}

		if (error.kind === 'unknown-outcome') {
			this.#unresolvedBase = stored;
		}

		return {kind: 'repeat', reason: error.message};
	}

	/** Looks for the audit entry of an own write whose response was lost. @returns `undefined` when that write has not taken effect. */
	async #findOwnEntry({head, version}: StoredHead): Promise<Result<AuditEntry | undefined, ConfigurationError>> {
		if (!this.#unresolvedBase) {
			return Ok(undefined);
		}

		const edits = await collectEdits({keyValue: this.#keyValue, limit: this.#limit}, head, {downTo: this.#unresolvedBase.head.revision + 1});
		if (edits.err) {
			return edits;
		}

		// Once the version has moved on, a delayed write that expects the old version can no longer succeed.
		if (version !== this.#unresolvedBase.version) {
			this.#unresolvedBase = undefined;
		}

		return Ok(edits.val.find(({editId}) => editId === this.#edit.editId));
	}

	#timeoutError(reason: string): ConfigurationError {
		return this.#unresolvedBase
			? new ConfigurationError({
				kind: 'unknown-outcome',
				detail: `Edit ${this.#edit.editId} of [${this.#edit.section}] may have been made: the answer to its write was lost and it could not be read back. ${reason}`,
				remedy: `Look for ${this.#edit.editId} with: yuccawood history, before making the edit again.`,
			})
			: new ConfigurationError({
				kind: 'timeout', detail: `The edit of [${this.#edit.section}] was not made within the time limit. ${reason}`, remedy: 'Make it again when the key-value service answers.',
			});
	}
}

/**
Makes one edit: checks it against the current head and writes the result by compare-and-swap.

If another edit changes the head first, the edit is checked again against the new head, so that edits of other sections are kept.

@returns the audit entry. Every error except `unknown-outcome` means that nothing was changed.
*/
export const applyEdit = async ({keyValue, edit, clock = new SystemClock(), random = systemRandom(), log = SILENT_LOG, timeLimitMs = EDIT_TIME_LIMIT_MS}: EditOptions & {
	readonly edit: Edit;
}): Promise<Result<AuditEntry, ConfigurationError>> => {
	const limit = new TimeLimit({clock, random, milliseconds: timeLimitMs});
	return new EditWriter({
		keyValue, limit, log, edit,
	}).run();
};
