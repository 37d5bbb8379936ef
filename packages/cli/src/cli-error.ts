import {TypedError, type Fault} from '@yuccawood/common';

/**
Failure of the command line itself.

- `usage`: a wrong or missing option or argument.
- `settings`: the settings file is missing or has faults.
- `faults`: a document has faults.
- `failure`: the action could not be done.
- `timeout`: a time limit passed.
*/
export type CliErrorKind = 'usage' | 'settings' | 'faults' | 'failure' | 'timeout';

export class CliError extends TypedError<CliErrorKind> {
	readonly faults: readonly Fault[];

	/** File that the faults are in. */
	readonly file: string | undefined;

	constructor({faults = [], file, ...options}: {
		readonly kind: CliErrorKind;
		readonly detail: string;
		readonly remedy: string;
		readonly cause?: unknown;
		readonly faults?: readonly Fault[];
		readonly file?: string;
	}) {
		super(options);
		this.name = 'CliError';
		this.faults = faults;
		this.file = file;
	}
}
