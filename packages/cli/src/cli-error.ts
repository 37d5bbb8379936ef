import {TypedError, type IniFault} from '@yuccawood/common';

/**
Failure of an action outside of the configuration document's own errors.

- `usage`: a wrong or missing option or argument.
- `settings`: the settings file cannot be read or has faults.
- `faults`: a document has faults.
- `failure`: the action failed, for example because a file cannot be read.
- `timeout`: a time limit passed.
*/
export type CliErrorKind = 'usage' | 'settings' | 'faults' | 'failure' | 'timeout';

export class CliError extends TypedError<CliErrorKind> {
	/** Faults of the settings file or document. */
	readonly faults: readonly IniFault[];

	/** File that has the faults. */
	readonly file: string | undefined;

	constructor({faults = [], file, ...options}: {
		readonly kind: CliErrorKind;
		readonly detail: string;
		readonly remedy: string;
		readonly cause?: unknown;
		readonly faults?: readonly IniFault[];
		readonly file?: string;
	}) {
		super(options);
		this.name = 'CliError';
		this.faults = faults;
		this.file = file;
	}
}
