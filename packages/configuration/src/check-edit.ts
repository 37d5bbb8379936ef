import {
	Err, Ok, parseIni, type IniFault, type Result,
} from '@yuccawood/common';
import {
	readSectionInput, renderDocument, renderSection, sectionNames,
} from './document.js';
import {ConfigurationError} from './errors.js';
import {nextHead} from './head.js';
import {ownerOf} from './owners.js';
import {parseConfiguration} from './parse-configuration.js';
import {sectionKind} from './section-kinds.js';
import type {Edit, Head} from './types.js';

const faultsError = (faults: readonly IniFault[]): ConfigurationError => new ConfigurationError({
	kind: 'faults', detail: `The document would have ${faults.length} fault${faults.length === 1 ? '' : 's'}.`, remedy: 'Correct the lines named and try again.', faults,
});

const checkOwner = ({team, section}: Edit, head: Head): ConfigurationError | undefined => {
	const {owners} = head.sections;
	const patterns = owners && parseIni(renderSection('owners', owners.text)).sections[0];
	const owner = ownerOf(patterns, section);
	if (owner === team) {
		return undefined;
	}

	const remedy = owner === undefined ? 'Ask the owner of [owners] to add a pattern that covers the section.' : `Ask team ${owner} to make the edit.`;
	return new ConfigurationError({kind: 'not-owner', detail: `Team ${team} does not own [${section}].`, remedy});
};

const checkBase = ({section, baseRevision, text}: Edit, head: Head): ConfigurationError | undefined => {
	const theirs = Object.hasOwn(head.sections, section) ? head.sections[section] : undefined;
	if ((theirs?.revision ?? 0) === baseRevision) {
		return undefined;
	}

	const last = head.edits.findLast(entry => entry.section === section);
	return new ConfigurationError({
		kind: 'conflict',
		detail: `[${section}] changed since revision ${baseRevision}${last ? `; ${last.author} edited it in revision ${last.revision}` : ''}.`,
		remedy: 'Compare both texts, merge them, and edit the current revision.',
		conflict: {
			section, baseRevision, mine: text, theirs: theirs?.text, theirRevision: theirs?.revision ?? 0, theirAuthor: last?.author,
		},
	});
};

/** Faults of the resulting document. Line numbers of faults in the edited section refer to the author's input. */
const checkDocument = (next: Head, {section}: Edit, lineInInput: (line: number) => number): readonly IniFault[] => {
	const document = renderDocument(next.sections);
	const header = parseIni(document).sections.find(({name}) => name === section)?.line ?? 0;
	return parseConfiguration(document).faults.map(fault => fault.section === section ? {...fault, line: lineInInput(fault.line - header)} : fault);
};

/**
Checks an edit against a head: the kind of section, its owner, the base revision, and the whole resulting document.

@returns the next head, before old audit entries are archived.
*/
export const checkEdit = (edit: Edit, head: Head, time: number): Result<Head, ConfigurationError> => {
	const {section} = edit;
	if (!sectionKind(section)) {
		return Err(faultsError([{
			section, line: 1, detail: 'is not a known kind of section', remedy: `Use a name like those that exist: ${sectionNames(head.sections).slice(0, 10).join(', ')}.`,
		}]));
	}

	const error = checkOwner(edit, head) ?? checkBase(edit, head);
	if (error) {
		return Err(error);
	}

	if (edit.text === undefined && !Object.hasOwn(head.sections, section)) {
		return Err(new ConfigurationError({kind: 'not-found', detail: `[${section}] does not exist.`, remedy: 'Check the name; there is nothing to remove.'}));
	}

	const input = edit.text === undefined ? undefined : readSectionInput(section, edit.text);
	if (input && input.faults.length > 0) {
		return Err(faultsError(input.faults));
	}

	const {text: _text, ...rest} = edit;
	const next = nextHead(head, {
		...rest, ...(input && {text: input.text}), revision: head.revision + 1, time,
	});
	const faults = checkDocument(next, edit, input?.lineInInput ?? (line => line));
	return faults.length > 0 ? Err(faultsError(faults)) : Ok(next);
};
