/** Settings of the command line, from the INI file given with `--settings`. Options take precedence over the file. */
import {readFile} from 'node:fs/promises';
import os from 'node:os';
import {
	validateSection, describeError, parseIni, type IniFault, type SectionRules, type SectionValues,
} from '@yuccawood/common';
import {CliError} from './cli-error.js';
import {DEFAULT_TIMEOUT_SECONDS} from './constants.js';

/** Options that all actions share, as parsed by commander. */
export type GlobalOptions = {
	readonly settings?: string;
	readonly keyValue?: string;
	readonly team?: string;
	readonly author?: string;
	readonly timeout?: string;
	readonly json?: boolean;
};

export type Settings = {
	readonly keyValue: string | undefined;
	readonly team: string | undefined;
	readonly author: string;

	/** Peer address of the process that is asked for `status.report`. */
	readonly peer: string | undefined;
	readonly timeoutSeconds: number;
};

const RULES: Readonly<Record<string, SectionRules>> = {
	platform: {
		key_value: {type: 'address', description: 'Address of the key-value service.'},
	},
	operator: {
		team: {type: 'text', description: 'Team in whose name edits are made.'},
		author: {type: 'text', description: 'Name recorded with edits. Default: the user of the system.'},
		timeout_seconds: {
			type: 'number', description: 'Time limit of an action, in seconds.', default: DEFAULT_TIMEOUT_SECONDS, minimum: 0.1, maximum: 3600,
		},
	},
	peer: {
		address: {type: 'address', description: 'Peer address of any process, for status.'},
	},
};

type CheckedSettings = {
	readonly values: Readonly<Record<string, SectionValues>>;
	readonly faults: readonly IniFault[];
};

const checkText = (text: string): CheckedSettings => {
	const document = parseIni(text);
	const unknown = document.sections.filter(({name}) => !Object.hasOwn(RULES, name)).map(({name, line}) => ({
		section: name, line, detail: 'is not a known section', remedy: `Remove it or use one of: ${Object.keys(RULES).join(', ')}.`,
	}));
	const checked = Object.entries(RULES).map(([name, rules]) => {
		const section = document.sections.find(other => other.name === name) ?? {name, line: 1, entries: []};
		return {name, ...validateSection(section, rules)};
	});
	return {
		values: Object.fromEntries(checked.map(({name, values}) => [name, values])),
		faults: [...document.faults, ...unknown, ...checked.flatMap(({faults}) => faults)].sort((a, b) => a.line - b.line),
	};
};

const readText = async (file: string): Promise<string> => {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new CliError({
			kind: 'settings', detail: `${file} cannot be read: ${describeError(error)}.`, remedy: 'Check the path given with --settings.', cause: error,
		});
	}
};

const readTimeout = (text: string): number => {
	const seconds = Number(text);
	if (!(seconds > 0 && seconds <= 3600)) {
		throw new CliError({kind: 'usage', detail: `--timeout has the value "${text}".`, remedy: 'Give seconds above 0 and up to 3600.'});
	}

	return seconds;
};

/** Loads the settings file, if one is given, and applies the options. @throws {CliError} of kind `settings` with all faults of the file, or `usage` for an invalid option. */
export const loadSettings = async (options: GlobalOptions): Promise<Settings> => {
	const file = options.settings;
	const {values, faults} = checkText(file === undefined ? '' : await readText(file));
	if (file !== undefined && faults.length > 0) {
		throw new CliError({
			kind: 'settings', detail: `${file} has ${faults.length} fault${faults.length === 1 ? '' : 's'}.`, remedy: 'Correct the lines named.', faults, file,
		});
	}

	const {platform, operator, peer} = values;
	return {
		keyValue: options.keyValue ?? platform.key_value as string | undefined,
		team: options.team ?? operator.team as string | undefined,
		author: options.author ?? operator.author as string | undefined ?? os.userInfo().username,
		peer: peer.address as string | undefined,
		timeoutSeconds: options.timeout === undefined ? operator.timeout_seconds as number : readTimeout(options.timeout),
	};
};
