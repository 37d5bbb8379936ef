/** Converts between the INI text of a whole document and the texts of its sections. */
import type {IniFault} from '@yuccawood/common';
import type {Sections} from './types.js';

const HEADER_PATTERN = /^\s*\[([^\]]+)]\s*$/;
const COMMENT_PATTERN = /^\s*[;#]/;

const headerName = (line: string): string | undefined => HEADER_PATTERN.exec(line)?.[1].trim();

/** Order of sections in a document: `[owners]` first, the others by name. */
export const sectionNames = (sections: Readonly<Record<string, unknown>>): readonly string[] => Object.keys(sections)
	.sort((a, b) => Number(b === 'owners') - Number(a === 'owners') || (a < b ? -1 : 1));

/** Text of a section below its header line. */
export const renderSection = (name: string, text: string): string => text === '' ? `[${name}]\n` : `[${name}]\n${text}\n`;

/** Text of the whole document. Equal sections give equal texts, so that digests of the text can be compared. */
export const renderDocument = (sections: Sections): string => sectionNames(sections)
	.map(name => renderSection(name, sections[name].text))
	.join('\n');

/**
Splits a document into the texts of its sections.

Comments directly above a header move below it, because a section's text begins after its header. All other text
before the first header moves into the first section.
*/
export const splitDocument = (text: string): Readonly<Record<string, string>> => {
	const sections = new Map<string, string[]>();
	let current: string[] = [];
	for (const line of text.split(/\r?\n/)) {
		const name = headerName(line);
		if (name === undefined) {
			current.push(line);
			continue;
		}

		const isFirst = sections.size === 0;
		let start = isFirst ? 0 : current.length;
		while (start > 0 && COMMENT_PATTERN.test(current[start - 1])) {
			start--;
		}

		const moved = current.splice(start);
		current = moved;
		sections.set(name, current);
	}

	return Object.fromEntries([...sections].map(([name, lines]) => [name, trimBlank(lines)]));
};

const trimBlank = (lines: readonly string[]): string => lines.join('\n').replaceAll(/^(?:[^\S\n]*\n)+|\s+$/g, '');

/** The input of an author for one section. */
export type SectionInput = {
	/** Text as stored, without the header line. */
	readonly text: string;

	/** Converts a line number in `text` to the line number in the author's input; both count from 1. */
	readonly lineInInput: (line: number) => number;
	readonly faults: readonly IniFault[];
};

/** Reads the text of one section, with or without its header line. Headers of other sections are faults, because each section has its own owner. */
export const readSectionInput = (section: string, input: string): SectionInput => {
	const lines = input.split(/\r?\n/);
	const header = lines.findIndex(line => headerName(line) === section);
	const faults = lines.flatMap((line, index) => {
		const name = headerName(line);
		return name === undefined || index === header
			? []
			: [{
				section, line: index + 1, value: line.trim(), detail: 'starts another section', remedy: `Leave only the lines of [${section}] and edit each section by itself.`,
			}];
	});
	const body = header === -1 ? lines : lines.toSpliced(header, 1);
	return {
		text: body.join('\n').trimEnd(),
		lineInInput: line => Math.max(1, header === -1 || line <= header ? line : line + 1),
		faults,
	};
};
