/** Context of an action: settings, terminal, clock and key-value service. All are injected, so that tests can run actions in their own process. */
import {randomUUID} from 'node:crypto';
import {
	SystemClock, systemRandom, type Clock, type Random, type Result,
} from '@yuccawood/common';
import {TimeLimit, type ConfigurationError, type EditOptions} from '@yuccawood/configuration';
import type {KeyValueService} from '@yuccawood/interfaces';
import {CliError} from './cli-error.js';
import type {Settings} from './settings.js';

/** Standard streams and environment of the program. */
export type Terminal = {
	/** Writes results to standard output. */
	readonly write: (text: string) => void;

	/** Writes progress and errors to standard error. */
	readonly writeError: (text: string) => void;

	/** Whether standard error is a terminal, on which a progress line can be overwritten. */
	readonly isInteractive: boolean;

	/** Text of standard input; `undefined` when it is a terminal. */
	readonly readInput: () => Promise<string | undefined>;

	/** Command that starts the operator's editor, with arguments separated by spaces. */
	readonly editor: string | undefined;
};

export type ContextOptions = {
	readonly settings: Settings;
	readonly terminal: Terminal;
	readonly json: boolean;

	/** Creates a client of the key-value service at `IP:PORT`. */
	readonly openKeyValue: (address: string) => KeyValueService;
	readonly clock?: Clock;
	readonly random?: Random;
};

export class Context {
	readonly settings: Settings;
	readonly terminal: Terminal;
	readonly json: boolean;
	readonly clock: Clock;
	readonly random: Random;
	readonly #openKeyValue: (address: string) => KeyValueService;
	#keyValue: KeyValueService | undefined;

	constructor({settings, terminal, json, openKeyValue, clock = new SystemClock(), random = systemRandom()}: ContextOptions) {
		this.settings = settings;
		this.terminal = terminal;
		this.json = json;
		this.clock = clock;
		this.random = random;
		this.#openKeyValue = openKeyValue;
	}

	/** Client of the key-value service, created on first use. @throws {CliError} of kind `usage` when no address is given. */
	get keyValue(): KeyValueService {
		const {keyValue} = this.settings;
		if (keyValue === undefined) {
			throw new CliError({kind: 'usage', detail: 'The address of the key-value service is not known.', remedy: 'Give --key-value IP:PORT, or key_value in [platform] of the settings.'});
		}

		this.#keyValue ??= this.#openKeyValue(keyValue);
		return this.#keyValue;
	}

	/** Whether the client of the key-value service has been created. */
	get usesKeyValue(): boolean {
		return this.#keyValue !== undefined;
	}

	/** Team in whose name edits are made. @throws {CliError} of kind `usage` when no team is given. */
	get team(): string {
		const {team} = this.settings;
		if (team === undefined) {
			throw new CliError({kind: 'usage', detail: 'The team is not known.', remedy: 'Give --team TEAM, or team in [operator] of the settings.'});
		}

		return team;
	}

	/** Options of a new edit, with a new edit id on each access. */
	get editOptions(): EditOptions & {readonly author: string; readonly team: string; readonly editId: string} {
		const {keyValue, clock, random, team} = this;
		return {
			keyValue, clock, random, team, author: this.settings.author, editId: randomUUID(), timeLimitMs: this.settings.timeoutSeconds * 1000,
		};
	}

	/** Starts the time limit of a read: the configured timeout, but at most `maxSeconds`. */
	timeLimit(maxSeconds = Number.POSITIVE_INFINITY): TimeLimit {
		const seconds = Math.min(maxSeconds, this.settings.timeoutSeconds);
		return new TimeLimit({clock: this.clock, random: this.random, milliseconds: seconds * 1000});
	}

	/** Prints the result: `value` as one JSON object with `--json`, otherwise `text`. */
	print(value: unknown, text: string): void {
		this.terminal.write(this.json ? `${JSON.stringify(value)}\n` : text);
	}
}

/** Returns the value of a result. @throws {ConfigurationError} the error of the result. */
export const unwrapOrThrow = <Value>(result: Result<Value, ConfigurationError>): Value => {
	if (result.err) {
		throw result.val;
	}

	return result.val;
};
