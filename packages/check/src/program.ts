/** The command line `yuccawood-check`: its options, output and exit codes. */
import {describeError} from '@yuccawood/common';
import type {TrafficConfiguration} from '@yuccawood/fleet';
import {CONFIGURATION_KEY, decodeTrafficConfiguration} from '@yuccawood/platform';
import {Command, CommanderError} from 'commander';
import {checkConfiguration} from './check-configuration.js';
import {configurationChanges, type Change} from './configuration-changes.js';

export const EXIT_CODES = {
	clean: 0, failed: 1, usage: 2, findings: 3,
} as const;

const EXIT_HELP = `
Exit codes:
  0  no finding; differences are no findings
  1  a file or the store can't be read
  2  wrong command line
  3  findings
`;

export type ProgramOptions = {
	readonly write: (text: string) => void;
	readonly writeError: (text: string) => void;
	readonly readFile: (path: string) => Promise<string>;

	/** @returns the value of a key in the store; undefined if there is none */
	readonly readStore: (address: string, key: string) => Promise<string | undefined>;
};

const describeChange = (change: Change): string => change.kind === 'changed' ? `${change.subject}: ${change.before} -> ${change.after}` : `${change.subject} ${change.kind}`;

type Flags = {readonly inForce?: string; readonly store?: string; readonly json?: boolean};

/** Parses and runs one command line. @returns the exit code */
export const runProgram = async (args: readonly string[], {write, writeError, readFile, readStore}: ProgramOptions): Promise<number> => {
	let exitCode: number = EXIT_CODES.clean;

	const readInForce = async ({inForce, store}: Flags): Promise<TrafficConfiguration | undefined> => {
		if (inForce !== undefined) {
			return decodeTrafficConfiguration(inForce, await readFile(inForce));
		}

		const value = store === undefined ? undefined : await readStore(store, CONFIGURATION_KEY);
		return value === undefined ? undefined : decodeTrafficConfiguration(CONFIGURATION_KEY, value);
	};

	const check = async (file: string, flags: Flags): Promise<void> => {
		try {
			const configuration = decodeTrafficConfiguration(file, await readFile(file));
			const inForce = await readInForce(flags);
			const findings = checkConfiguration(configuration, inForce);
			const changes = inForce ? configurationChanges(inForce, configuration) : [];
			exitCode = findings.length > 0 ? EXIT_CODES.findings : EXIT_CODES.clean;
			if (flags.json) {
				write(`${JSON.stringify({findings, changes})}\n`);
				return;
			}

			for (const {kind, subject, detail} of findings) {
				write(`${kind}: ${subject}: ${detail}\n`);
			}

			for (const change of changes) {
				write(`difference: ${describeChange(change)}\n`);
			}

			write(`${findings.length} findings${inForce ? `, ${changes.length} differences from version ${inForce.version}` : ''}\n`);
		} catch (error) {
			exitCode = EXIT_CODES.failed;
			writeError(`yuccawood-check: ${describeError(error)}\n`);
		}
	};

	const program = new Command('yuccawood-check')
		.description('Checks a traffic configuration before it is sent: errors, entries that no request can use, limits that contradict each other, and what differs from the version in force.')
		.argument('<file>', 'configuration as it would be written to the store')
		.option('--in-force <file>', 'configuration in force, from a file')
		.option('--store <address>', 'IP:PORT of the store, from which the configuration in force is read')
		.option('--json', 'print the result as one JSON object')
		.addHelpText('after', EXIT_HELP)
		.exitOverride()
		.configureOutput({writeOut: write, writeErr: writeError})
		.action(check);

	try {
		await program.parseAsync([...args], {from: 'user'});
	} catch (error) {
		if (error instanceof CommanderError) {
			return error.exitCode === 0 ? EXIT_CODES.clean : EXIT_CODES.usage;
		}

		throw error;
	}

	return exitCode;
};
