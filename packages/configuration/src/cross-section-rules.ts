/** Rules that involve several sections, or several keys of one section. */
import type {IniFault, IniSection} from '@yuccawood/common';
import type {CheckedSection} from './build-configuration.js';
import {ownerOf} from './owners.js';

type CheckedDocument = {
	readonly sections: readonly IniSection[];
	readonly checked: readonly CheckedSection[];
};

type Rule = (document: CheckedDocument) => readonly IniFault[];

/** Position of a key in the document, or of its section when the key is absent, as the base of a fault. */
const locateKey = ({sections}: CheckedDocument, {section, line}: CheckedSection, key: string): Pick<IniFault, 'section' | 'key' | 'line' | 'value'> => {
	const entry = sections.find(({name}) => name === section)?.entries.find(other => other.key === key);
	return {
		section, key, line: entry?.line ?? line, ...(entry && {value: entry.value}),
	};
};

const ofKind = ({checked}: CheckedDocument, ...kinds: readonly string[]): readonly CheckedSection[] => checked.filter(({kind}) => kinds.includes(kind));

/** A route of kind `model` has `models` and no `service`; one of kind `service` the other way round. */
const routeTargets: Rule = document => ofKind(document, 'route').flatMap(route => {
	const kind = route.values.kind as 'model' | 'service' | undefined;
	if (kind === undefined) {
		return [];
	}

	const [required, other] = kind === 'model' ? ['models', 'service'] : ['service', 'models'];
	const found = route.values[required];
	const isMissing = found === undefined || (Array.isArray(found) && found.length === 0);
	const missing = isMissing
		? [{...locateKey(document, route, required), detail: `is missing for kind = ${kind}`, remedy: `Add ${required} = ... or change the kind.`}]
		: [];
	const superfluous = route.values[other] === undefined
		? []
		: [{...locateKey(document, route, other), detail: `has no effect for kind = ${kind}`, remedy: 'Remove it or change the kind.'}];
	return [...missing, ...superfluous];
});

const knownModels: Rule = document => {
	const known = new Set(ofKind(document, 'model', 'adapter').map(({name}) => name));
	return ofKind(document, 'route').flatMap(route => {
		const named = (route.values.models ?? []) as readonly string[];
		return named.filter(name => !known.has(name)).map(name => ({
			...locateKey(document, route, 'models'), detail: `names the unknown model ${name}`, remedy: `Add [model.${name}] or [adapter.${name}], or remove the name.`,
		}));
	});
};

const knownBases: Rule = document => {
	const models = new Set(ofKind(document, 'model').map(({name}) => name));
	return ofKind(document, 'adapter')
		.filter(({values}) => values.base !== undefined && !models.has(String(values.base)))
		.map(adapter => ({
			...locateKey(document, adapter, 'base'), detail: `names the unknown model ${String(adapter.values.base)}`, remedy: `Add [model.${String(adapter.values.base)}] or name another base.`,
		}));
};

/** Faults for sections whose value of a key an earlier section has already. */
const duplicates = (document: CheckedDocument, sections: readonly CheckedSection[], key: string, subject: string): readonly IniFault[] => {
	const first = new Map<unknown, string>();
	return sections.flatMap(section => {
		const value = section.values[key];
		const earlier = first.get(value);
		if (value === undefined || earlier === undefined) {
			first.set(value, section.section);
			return [];
		}

		return [{...locateKey(document, section, key), detail: `repeats the ${subject} of [${earlier}]`, remedy: `Give each section its own ${subject}.`}];
	});
};

const uniquePaths: Rule = document => duplicates(document, ofKind(document, 'route'), 'path', 'path');

const uniqueKeys: Rule = document => duplicates(document, ofKind(document, 'account'), 'key', 'account key');

/** A model and an adapter may not share a name, because callers name both in the same field of a request. */
const uniqueModelNames: Rule = document => {
	const models = new Set(ofKind(document, 'model').map(({name}) => name));
	return ofKind(document, 'adapter').filter(({name}) => models.has(name)).map(({section, name, line}) => ({
		section, line, detail: `has the name of [model.${name}]`, remedy: 'Rename one of the two.',
	}));
};

const sectionOwners: Rule = ({sections}) => {
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

const RULES: readonly Rule[] = [routeTargets, knownModels, knownBases, uniquePaths, uniqueKeys, uniqueModelNames, sectionOwners];

/** Checks all rules of this module. */
export const checkAcrossSections = (document: CheckedDocument): readonly IniFault[] => RULES.flatMap(rule => rule(document));
