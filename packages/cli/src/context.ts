/** What an action works with. Streams, time and the platform are injected, so that tests run actions in their own process. */
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
	/** Results. */
	readonly write: (text: string) => void;

	/** Progress and errors. */
	readonly writeError: (text: string) => void;

	/** Whether progress goes to a terminal, where a line may be overwritten. */
	readonly isInteractive: boolean;

	/** Text of standard input; `undefined` when it is a terminal. */
	readonly readInput: () => Promise<string | undefined>;
	readonly editor: string | undefined;
};

export type ContextOptions = {
	readonly settings: Settings;
	readonly terminal: Terminal;
	readonly json: boolean;
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

	/** @throws {CliError} of kind `usage` when no address is known. */
	get keyValue(): KeyValueService {
		const {keyValue} = this.settings;
		if (keyValue === undefined) {
			throw new CliError({kind: 'usage', detail: 'The address of the key-value service is not known.', remedy: 'Give --key-value IP:PORT, or key_value in [platform] of the settings.'});
		}

		this.#keyValue ??= this.#openKeyValue(keyValue);
		return this.#keyValue;
	}

	/** Whether an action has used the key-value service. */
	get usesKeyValue(): boolean {
		return this.#keyValue !== undefined;
	}

	/** @throws {CliError} of kind `usage` when no team is known. */
	get team(): string {
		const {team} = this.settings;
		if (team === undefined) {
			throw new CliError({kind: 'usage', detail: 'The team is not known.', remedy: 'Give --team TEAM, or team in [operator] of the settings.'});
		}

		return team;
	}

	/** Identity and limits of a new edit. */
	get editOptions(): EditOptions & {readonly author: string; readonly team: string; readonly editId: string} {
		const {keyValue, clock, random, team} = this;
		return {
			keyValue, clock, random, team, author: this.settings.author, editId: randomUUID(), timeLimitMs: this.settings.timeoutSeconds * 1000,
		};
	}

	/** A fresh time limit for reading. */
	limit(longestSeconds = Number.POSITIVE_INFINITY): TimeLimit {
		const seconds = Math.min(longestSeconds, this.settings.timeoutSeconds);
		return new TimeLimit({clock: this.clock, random: this.random, milliseconds: seconds * 1000});
	}

	/** Prints the result: one JSON object with `--json`, the text otherwise. */
	print(value: unknown, text: string): void {
		this.terminal.write(this.json ? `${JSON.stringify(value)}\n` : text);
	}
}

/** The value of a result. @throws the error of the result. */
export const valueOf = <Value>(result: Result<Value, ConfigurationError>): Value => {
	if (result.err) {
		throw result.val;
	}

	return result.val;
};
