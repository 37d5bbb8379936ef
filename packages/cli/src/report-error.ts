import {describeError, formatFault, type Fault} from '@yuccawood/common';
import {ConfigurationError} from '@yuccawood/configuration';
import {CliError} from './cli-error.js';
import {EXIT_CODES} from './constants.js';
import type {Terminal} from './context.js';

const EXIT_CODE_OF_KIND: Readonly<Record<ConfigurationError['kind'] | CliError['kind'], number>> = {
	usage: EXIT_CODES.usage,
	settings: EXIT_CODES.settings,
	failure: EXIT_CODES.failure,
	faults: EXIT_CODES.faults,
	conflict: EXIT_CODES.conflict,
	'not-owner': EXIT_CODES.notOwner,
	timeout: EXIT_CODES.timeout,
	'unknown-outcome': EXIT_CODES.timeout,
	'too-large': EXIT_CODES.failure,
	'no-document': EXIT_CODES.failure,
	exists: EXIT_CODES.failure,
	'not-found': EXIT_CODES.failure,
	corrupt: EXIT_CODES.failure,
};

const indent = (text: string | undefined): string => text === undefined ? '  (no section)\n' : text.split('\n').map(line => `  ${line}\n`).join('');

const conflictText = ({conflict}: ConfigurationError): string => conflict === undefined
	? ''
	: `Yours, based on revision ${conflict.baseRevision}:\n${indent(conflict.mine)}`
		+ `Theirs, revision ${conflict.theirRevision}${conflict.theirAuthor ? ` by ${conflict.theirAuthor}` : ''}:\n${indent(conflict.theirs)}`;

/** Faults of the edited section are in the author's file, the others in the document as a whole. */
const faultLines = (faults: readonly Fault[], file: string, section: string | undefined): string => faults
	.map(fault => `${formatFault(section === undefined || fault.section === section ? file : 'document', fault)}\n`)
	.join('');

/**
Reports an error on standard error, and with `--json` also as an object on standard output.

@param place file and section that an edit came from, for the lines of faults.
@returns the exit code.
*/
export const reportError = (error: unknown, {terminal, json, place}: {
	readonly terminal: Terminal;
	readonly json: boolean;
	readonly place?: {readonly file: string; readonly section?: string};
}): number => {
	const isKnown = error instanceof ConfigurationError || error instanceof CliError;
	const faults = isKnown ? error.faults : [];
	const file = (error instanceof CliError ? error.file : undefined) ?? place?.file ?? 'document';
	terminal.writeError(faultLines(faults, file, place?.section));
	terminal.writeError(`yuccawood: ${describeError(error)}\n`);
	const conflict = error instanceof ConfigurationError ? error.conflict : undefined;
	if (error instanceof ConfigurationError) {
		terminal.writeError(conflictText(error));
	}

	const exitCode = isKnown ? EXIT_CODE_OF_KIND[error.kind] : EXIT_CODES.failure;
	if (json) {
		const kind = isKnown ? error.kind : 'failure';
		terminal.write(`${JSON.stringify({
			error: {
				kind, message: describeError(error), exitCode, faults, conflict,
			},
		})}\n`);
	}

	return exitCode;
};
