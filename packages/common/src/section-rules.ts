/** Rules for the keys of one INI section, shared by process settings and the configuration document. */
import type {IniSection} from './ini-document.js';

/** What a key may hold. `list` is separated by commas; `address` is `IP:port`. */
export type KeyRule = {
	readonly type: 'text' | 'integer' | 'number' | 'flag' | 'choice' | 'address' | 'list';

	/** One sentence for the reference of keys, with the unit. */
	readonly description: string;
	readonly required?: boolean;
	readonly default?: string | number | boolean | readonly string[];
	readonly minimum?: number;
	readonly maximum?: number;
	readonly choices?: readonly string[];
	readonly pattern?: RegExp;
};

export type SectionRules = Readonly<Record<string, KeyRule>>;

/** One fault in an INI text, with what was found and how to mend it. */
export type Fault = {
	readonly section: string;
	readonly key?: string;
	readonly line: number;
	readonly value?: string;
	readonly detail: string;
	readonly remedy: string;
};

/** Checked values of one section by key. Absent keys without a default are left out. */
export type Values = Readonly<Record<string, string | number | boolean | readonly string[]>>;

type Outcome = {readonly value: string | number | boolean | readonly string[]} | {readonly detail: string; readonly remedy: string};

const ADDRESS_PATTERN = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-fA-F:]+]):\d{1,5}$/;

const readNumber = (text: string, rule: KeyRule): Outcome => {
	const value = Number(text);
	const minimum = rule.minimum ?? Number.NEGATIVE_INFINITY;
	const maximum = rule.maximum ?? Number.POSITIVE_INFINITY;
	const isWhole = rule.type !== 'integer' || Number.isInteger(value);
	if (text !== '' && Number.isFinite(value) && isWhole && value >= minimum && value <= maximum) {
		return {value};
	}

	const kind = rule.type === 'integer' ? 'a whole number' : 'a number';
	return {detail: `is not ${kind} in its range`, remedy: `Use ${kind} from ${minimum} to ${maximum}.`};
};

const readChoice = (text: string, choices: readonly string[]): Outcome => choices.includes(text)
	? {value: text}
	: {detail: 'is not one of the choices', remedy: `Use one of: ${choices.join(', ')}.`};

const readList = (text: string): Outcome => ({value: text.split(',').map(item => item.trim()).filter(item => item !== '')});

const readText = (text: string, rule: KeyRule): Outcome => {
	if (text === '') {
		return {detail: 'is empty', remedy: 'Give a value or remove the line.'};
	}

	if (rule.pattern && !rule.pattern.test(text)) {
		return {detail: 'has the wrong form', remedy: `Use a value that matches ${rule.pattern.source}.`};
	}

	return {value: text};
};

const readAddress = (text: string): Outcome => {
	const port = Number(text.slice(text.lastIndexOf(':') + 1));
	return ADDRESS_PATTERN.test(text) && port <= 65_535
		? {value: text}
		: {detail: 'is not an address', remedy: 'Use an IP number and a port, for example 127.0.0.1:7400.'};
};

const readFlag = (text: string): Outcome => {
	const isKnown = ['yes', 'no', 'true', 'false'].includes(text);
	return isKnown ? {value: text === 'yes' || text === 'true'} : {detail: 'is not yes or no', remedy: 'Use yes or no.'};
};

const readValue = (text: string, rule: KeyRule): Outcome => {
	switch (rule.type) {
		case 'integer':
		case 'number': {
			return readNumber(text, rule);
		}

		case 'flag': {
			return readFlag(text);
		}

		case 'choice': {
			return readChoice(text, rule.choices ?? []);
		}

		case 'address': {
			return readAddress(text);
		}

		case 'list': {
			return readList(text);
		}

		case 'text': {
			return readText(text, rule);
		}
	}
};

/**
Checks the keys of one section against its rules.

@returns the values with defaults filled in, and every fault found.
*/
export const checkSection = (section: IniSection, rules: SectionRules): {readonly values: Values; readonly faults: readonly Fault[]} => {
	const faults: Fault[] = [];
	const values: Record<string, string | number | boolean | readonly string[]> = {};

	for (const [key, rule] of Object.entries(rules)) {
		if (rule.default !== undefined) {
			values[key] = rule.default;
		}

		if (rule.required && !section.entries.some(entry => entry.key === key)) {
			faults.push({
				section: section.name, key, line: section.line, detail: 'is missing', remedy: `Add ${key} = ... (${rule.description})`,
			});
		}
	}

	for (const {key, value, line} of section.entries) {
		const place = {
			section: section.name, key, line, value,
		};
		if (!Object.hasOwn(rules, key)) {
			const known = Object.keys(rules).join(', ');
			faults.push({...place, detail: 'is not a known key', remedy: `Remove it or use one of: ${known}.`});
			continue;
		}

		const outcome = readValue(value, rules[key]);
		if ('value' in outcome) {
			values[key] = outcome.value;
			continue;
		}

		faults.push({...place, ...outcome});
	}

	return {values, faults};
};
