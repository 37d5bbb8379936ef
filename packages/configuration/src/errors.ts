import {TypedError, type IniFault} from '@yuccawood/common';

/**
Failure of an edit or of reading the document.

- `conflict`: the section changed since the author read it; nothing was written.
- `not-owner`: the team does not own the section; nothing was written.
- `faults`: the resulting document has faults; nothing was written.
- `too-large`: the document would exceed the limit of the key-value service; nothing was written.
- `no-document`, `exists`: the document does not exist yet, or exists already.
- `not-found`: the section or revision does not exist.
- `timeout`: the time limit passed and the edit was not made.
- `unknown-outcome`: the time limit passed while the result of a write was unknown; the edit may have been made.
- `corrupt`: the stored value is not a document.
*/
export type ConfigurationErrorKind =
	'conflict' | 'not-owner' | 'faults' | 'too-large' | 'no-document' | 'exists' | 'not-found' | 'timeout' | 'unknown-outcome' | 'corrupt';

/** The two texts of a conflict: `mine` of the failed edit, `theirs` as stored. A text is `undefined` when that side has no such section. */
export type Conflict = {
	readonly section: string;
	readonly baseRevision: number;
	readonly mine: string | undefined;
	readonly theirs: string | undefined;
	readonly theirRevision: number;
	readonly theirAuthor: string | undefined;
};

export class ConfigurationError extends TypedError<ConfigurationErrorKind> {
	/** Faults of the resulting document, for kind `faults`. */
	readonly faults: readonly IniFault[];

	/** Both texts, for kind `conflict`. */
	readonly conflict: Conflict | undefined;

	constructor({faults = [], conflict, ...options}: {
		readonly kind: ConfigurationErrorKind;
		readonly detail: string;
		readonly remedy: string;
		readonly cause?: unknown;
		readonly faults?: readonly IniFault[];
		readonly conflict?: Conflict;
	}) {
		super(options);
		this.name = 'ConfigurationError';
		this.faults = faults;
		this.conflict = conflict;
	}
}
