/** Rules that hold between sections, or between the keys of one. */
import type {Fault, IniSection} from '@yuccawood/common';
import type {CheckedSection} from './build-configuration.js';
import {ownerOf} from './owners.js';

type Document = {
	readonly sections: readonly IniSection[];
	readonly checked: readonly CheckedSection[];
};

type Rule = (document: Document) => readonly Fault[];

/** Place of a key in the text, or of its section when the key is absent. */
const place = ({sections}: Document, {section, line}: CheckedSection, key: string): Pick<Fault, 'section' | 'key' | 'line' | 'value'> => {
	const entry = sections.find(({name}) => name === section)?.entries.find(other => other.key === key);
	return {
		section, key, line: entry?.line ?? line, ...(entry && {value: entry.value}),
	};
};

const ofKind = ({checked}: Document, ...kinds: readonly string[]): readonly CheckedSection[] => checked.filter(({kind}) => kinds.includes(kind));

/** A route names a target of its kind, and only of its kind. */
const routeTargets: Rule = document => ofKind(document, 'route').flatMap(route => {
	const kind = route.values.kind as 'model' | 'service' | undefined;
	if (kind === undefined) {
		return [];
	}

	const [wanted, other] = kind === 'model' ? ['models', 'service'] : ['service', 'models'];
	const found = route.values[wanted];
	const isMissing = found === undefined || (Array.isArray(found) && found.length === 0);
	const missing = isMissing
		? [{...place(document, route, wanted), detail: `is missing for kind = ${kind}`, remedy: `Add ${wanted} = ... or change the kind.`}]
		: [];
	const superfluous = route.values[other] === undefined
		? []
		: [{...place(document, route, other), detail: `has no effect for kind = ${kind}`, remedy: 'Remove it or change the kind.'}];
	return [...missing, ...superfluous];
});

const knownModels: Rule = document => {
	const known = new Set(ofKind(document, 'model', 'adapter').map(({name}) => name));
	return ofKind(document, 'route').flatMap(route => {
		const named = (route.values.models ?? []) as readonly string[];
		return named.filter(name => !known.has(name)).map(name => ({
			...place(document, route, 'models'), detail: `names the unknown model ${name}`, remedy: `Add [model.${name}] or [adapter.${name}], or remove the name.`,
		}));
	});
};

const knownBases: Rule = document => {
	const models = new Set(ofKind(document, 'model').map(({name}) => name));
	return ofKind(document, 'adapter')
		.filter(({values}) => values.base !== undefined && !models.has(String(values.base)))
		.map(adapter => ({
			...place(document, adapter, 'base'), detail: `names the unknown model ${String(adapter.values.base)}`, remedy: `Add [model.${String(adapter.values.base)}] or name another base.`,
		}));
};

/** Faults for the second and later sections that share a value. */
const duplicates = (document: Document, sections: readonly CheckedSection[], key: string, subject: string): readonly Fault[] => {
	const first = new Map<unknown, string>();
	return sections.flatMap(section => {
		const value = section.values[key];
		const earlier = first.get(value);
		if (value === undefined || earlier === undefined) {
			first.set(value, section.section);
			return [];
		}

		return [{...place(document, section, key), detail: `repeats the ${subject} of [${earlier}]`, remedy: `Give each section its own ${subject}.`}];
	});
};

const uniquePaths: Rule = document => duplicates(document, ofKind(document, 'route'), 'path', 'path');

const uniqueKeys: Rule = document => duplicates(document, ofKind(document, 'account'), 'key', 'account key');

/** Callers name models and adapters in the same field of a request. */
const uniqueModelNames: Rule = document => {
	const models = new Set(ofKind(document, 'model').map(({name}) => name));
	return ofKind(document, 'adapter').filter(({name}) => models.has(name)).map(({section, name, line}) => ({
		section, line, detail: `has the name of [model.${name}]`, remedy: 'Rename one of the two.',
	}));
};

const owned: Rule = ({sections}) => {
	const owners = sections.find(({name}) => name === 'owners');
	if (!owners) {
		return [{
			section: 'owners', line: 1, detail: 'is missing', remedy: 'Add [owners] with a line PATTERN = TEAM for each kind of section.',
		}];
	}

	const empty = owners.entries.filter(({value}) => value === '').map(({key, line}) => ({
		section: 'owners', key, line, value: '', detail: 'names no team', remedy: 'Add the name of a team.',
	}));
	const uncovered = sections.filter(({name}) => ownerOf(owners, name) === undefined).map(({name, line}) => ({
		section: name, line, detail: 'has no owner', remedy: 'Add a line to [owners] whose pattern covers the section.',
	}));
	return [...empty, ...uncovered];
};

const RULES: readonly Rule[] = [routeTargets, knownModels, knownBases, uniquePaths, uniqueKeys, uniqueModelNames, owned];

/** All faults between sections. */
export const checkAcrossSections = (document: Document): readonly Fault[] => RULES.flatMap(rule => rule(document));
