/** Validation rules for the keys of one INI section, used for process settings and for the configuration document. */
import type {IniSection} from './ini-document.js';

/** Validation rule for the value of a key. A `list` is separated by commas, an `address` has the form `IP:port`, a `flag` is yes, no, true or false. */
export type KeyRule = {
	readonly type: 'text' | 'integer' | 'number' | 'flag' | 'choice' | 'address' | 'list';

	/** One sentence for the key reference, with the unit of the value. */
	readonly description: string;
	readonly required?: boolean;
	readonly default?: string | number | boolean | readonly string[];
	readonly minimum?: number;
	readonly maximum?: number;
	readonly choices?: readonly string[];
	readonly pattern?: RegExp;
};

export type SectionRules = Readonly<Record<string, KeyRule>>;

/** A fault in an INI text. `detail` continues a sentence that begins with the section or key, `value` is the text found, and `remedy` tells how to fix it. */
export type IniFault = {
	readonly section: string;
	readonly key?: string;
	readonly line: number;
	readonly value?: string;
	readonly detail: string;
	readonly remedy: string;
};

/** Validated values of one section by key. A missing key has its default, or is absent if it has none. */
export type SectionValues = Readonly<Record<string, string | number | boolean | readonly string[]>>;

type Outcome = {readonly value: string | number | boolean | readonly string[]} | {readonly detail: string; readonly remedy: string};

const ADDRESS_PATTERN = /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-fA-F:]+]):\d{1,5}$/;

const readNumber = (text: string, rule: KeyRule): Outcome => {
	const value = Number(text);
	const minimum = rule.minimum ?? Number.NEGATIVE_INFINITY;
	const maximum = rule.maximum ?? Number.POSITIVE_INFINITY;
	const hasRightKind = rule.type !== 'integer' || Number.isInteger(value);
	if (text !== '' && Number.isFinite(value) && hasRightKind && value >= minimum && value <= maximum) {
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
Validates the keys of one section against its rules.

@returns the valid values with defaults filled in, and all faults found.
*/
export const validateSection = (section: IniSection, rules: SectionRules): {readonly values: SectionValues; readonly faults: readonly IniFault[]} => {
	const faults: IniFault[] = [];
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
		const location = {
			section: section.name, key, line, value,
		};
		if (!Object.hasOwn(rules, key)) {
			const knownKeys = Object.keys(rules).join(', ');
			faults.push({...location, detail: 'is not a known key', remedy: `Remove it or use one of: ${knownKeys}.`});
			continue;
		}

		const outcome = readValue(value, rules[key]);
		if ('value' in outcome) {
			values[key] = outcome.value;
			continue;
		}

		faults.push({...location, ...outcome});
	}

	return {values, faults};
};
