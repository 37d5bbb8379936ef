/** The command line: its options, actions, and exit codes. */
import {Command, CommanderError} from 'commander';
import type {KeyValueService} from '@yuccawood/interfaces';
import {EXIT_CODES} from './constants.js';
import {Context, type Terminal} from './context.js';
import {addEditActions} from './edit-actions.js';
import {addInspectActions} from './inspect-actions.js';
import type {RunAction} from './run-action.js';
import {reportError} from './report-error.js';
import {loadSettings, type GlobalOptions} from './settings.js';

const EXIT_HELP = `
Exit codes:
  0   done
  1   failed without effect
  2   wrong command line
  3   the document has faults
  4   conflict: the section changed meanwhile
  5   the team does not own the section
  6   time limit passed; the message says whether an edit may have been made
  78  faults in the settings file
`;

/** Parses and runs one command line. @returns the exit code. */
export const runProgram = async (args: readonly string[], {terminal, openKeyValue}: {
	readonly terminal: Terminal;
	readonly openKeyValue: (address: string) => KeyValueService;
}): Promise<number> => {
	let exitCode: number = EXIT_CODES.done;
	const program = new Command('yuccawood');

	const run: RunAction = async (action, source) => {
		const options = program.opts<GlobalOptions>();
		const json = options.json ?? false;
		try {
			await action(new Context({
				settings: await loadSettings(options), terminal, json, openKeyValue,
			}));
		} catch (error) {
			exitCode = reportError(error, {terminal, json, source});
		}
	};

	program
		.description('Operates yuccawood: edits the configuration document and follows it into force.')
		.option('--key-value <address>', 'IP:PORT of the key-value service')
		.option('--team <team>', 'team in whose name edits are made')
		.option('--author <name>', 'name recorded with edits')
		.option('--settings <file>', 'INI file with [platform] key_value, [operator] team, author, timeout_seconds, and [peer] address')
		.option('--timeout <seconds>', 'time limit of an action')
		.option('--json', 'print the result as one JSON object')
		.addHelpText('after', EXIT_HELP)
		.exitOverride()
		.configureOutput({writeOut: terminal.write, writeErr: terminal.writeError});

	addEditActions(program, run);
	addInspectActions(program, run);

	try {
		await program.parseAsync([...args], {from: 'user'});
	} catch (error) {
		if (error instanceof CommanderError) {
			return error.exitCode === 0 ? EXIT_CODES.done : EXIT_CODES.usage;
		}

		throw error;
	}

	return exitCode;
};
