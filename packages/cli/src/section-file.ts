/** Text of one section as operators exchange it: a comment names the revision that it is based on. */
import {readFile} from 'node:fs/promises';
import {describeError} from '@yuccawood/common';
import {renderSection} from '@yuccawood/configuration';
import {CliError} from './cli-error.js';

const REVISION_PATTERN = /^; revision (\d+)[^\S\n]*\n?/;

/** The section with its header, below a comment with its revision. */
export const formatSection = (section: string, text: string, revision: number): string => `; revision ${revision}\n${renderSection(section, text)}`;

export type SectionFile = {
	/** Text with the revision comment blanked, so that its lines keep their numbers. */
	readonly text: string;

	/** Revision that the text is based on, when the comment names one. */
	readonly baseRevision: number | undefined;
};

export const parseSectionFile = (text: string): SectionFile => {
	const match = REVISION_PATTERN.exec(text);
	return match
		? {text: `\n${text.slice(match[0].length)}`, baseRevision: Number(match[1])}
		: {text, baseRevision: undefined};
};

/** @throws {CliError} of kind `failure` when the file cannot be read. */
export const readTextFile = async (file: string): Promise<string> => {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new CliError({
			kind: 'failure', detail: `${file} cannot be read: ${describeError(error)}.`, remedy: 'Check the path.', cause: error,
		});
	}
};
