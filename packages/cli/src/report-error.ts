import {describeError, formatIniFault, type IniFault} from '@yuccawood/common';
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

const formatConflict = ({conflict}: ConfigurationError): string => conflict === undefined
	? ''
	: `Yours, based on revision ${conflict.baseRevision}:\n${indent(conflict.mine)}`
		+ `Theirs, revision ${conflict.theirRevision}${conflict.theirAuthor ? ` by ${conflict.theirAuthor}` : ''}:\n${indent(conflict.theirs)}`;

/** Formats faults, one a line. Faults of the edited section refer to the author's file, the others to the whole document. */
const formatFaults = (faults: readonly IniFault[], file: string, section: string | undefined): string => faults
	.map(fault => `${formatIniFault(section === undefined || fault.section === section ? file : 'document', fault)}\n`)
	.join('');

/**
Writes an error to standard error, and with `--json` also as an object to standard output.

@param source file and section of the edit, which the lines with faults name.
@returns the exit code.
*/
export const reportError = (error: unknown, {terminal, json, source}: {
	readonly terminal: Terminal;
	readonly json: boolean;
	readonly source?: {readonly file: string; readonly section?: string};
}): number => {
	const isKnown = error instanceof ConfigurationError || error instanceof CliError;
	const faults = isKnown ? error.faults : [];
	const file = (error instanceof CliError ? error.file : undefined) ?? source?.file ?? 'document';
	terminal.writeError(formatFaults(faults, file, source?.section));
	terminal.writeError(`yuccawood: ${describeError(error)}\n`);
	const conflict = error instanceof ConfigurationError ? error.conflict : undefined;
	if (error instanceof ConfigurationError) {
		terminal.writeError(formatConflict(error));
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
