import {createTwoFilesPatch} from 'diff';
import {
	diffSections, readHead, readSectionAtRevision, splitDocument, type SectionDifference, type Sections,
} from '@yuccawood/configuration';
import {CliError} from './cli-error.js';
import {CONTEXT_LINES} from './constants.js';
import {unwrapOrThrow, type Context} from './context.js';
import {parseSectionFile, readTextFile} from './section-file.js';

const toSections = (texts: Readonly<Record<string, string>>): Sections =>
	Object.fromEntries(Object.entries(texts).map(([name, text]) => [name, {text, revision: 0}]));

const pickSection = (sections: Sections, section: string): Sections => Object.hasOwn(sections, section) ? {[section]: sections[section]} : {};

const formatPatch = ({section, before = '', after = ''}: SectionDifference, [from, to]: readonly [string, string]): string => {
	const lines = (text: string): string => text === '' ? '' : `${text}\n`;
	return createTwoFilesPatch(`[${section}] ${from}`, `[${section}] ${to}`, lines(before), lines(after), '', '', {context: CONTEXT_LINES});
};

/** Sections of a file. With `section`, the file may hold only the text of that section. */
const readFileSections = async (file: string, section: string | undefined): Promise<Sections> => {
	const {text} = parseSectionFile(await readTextFile(file));
	const split = splitDocument(text);
	if (section === undefined) {
		return toSections(split);
	}

	return toSections({[section]: Object.hasOwn(split, section) ? split[section] : text.trimEnd()});
};

const printDifferences = (context: Context, before: Sections, after: Sections, names: readonly [string, string]): void => {
	const differences = diffSections(before, after);
	context.print({differences}, differences.length === 0 ? 'No differences.\n' : differences.map(difference => formatPatch(difference, names)).join(''));
};

/**
Compares documents or sections.

- `diff FILE [--section S]`: from the current document to the file.
- `diff --revision N --section S`: from the revision to the current document.
*/
export const diffDocument = async (context: Context, file: string | undefined, {section, revision}: {
	readonly section?: string;
	readonly revision?: number;
}): Promise<void> => {
	if (file !== undefined && revision === undefined) {
		const {head} = unwrapOrThrow(await readHead({keyValue: context.keyValue, limit: context.timeLimit()}));
		const current = section === undefined ? head.sections : pickSection(head.sections, section);
		printDifferences(context, current, await readFileSections(file, section), [`revision ${head.revision}`, file]);
		return;
	}

	if (file !== undefined || revision === undefined || section === undefined) {
		throw new CliError({kind: 'usage', detail: 'The action needs FILE, or --revision with --section.', remedy: 'Give the one that you mean.'});
	}

	const {stored: {head}, text} = unwrapOrThrow(await readSectionAtRevision({
		keyValue: context.keyValue, limit: context.timeLimit(), section, revision,
	}));
	const before = text === undefined ? {} : toSections({[section]: text});
	printDifferences(context, before, pickSection(head.sections, section), [`revision ${revision}`, `revision ${head.revision}`]);
};
