/** Files that hold one section. A comment in the first line gives the revision on which the text is based. */
import {readFile} from 'node:fs/promises';
import {describeError} from '@yuccawood/common';
import {renderSection} from '@yuccawood/configuration';
import {CliError} from './cli-error.js';

const REVISION_PATTERN = /^; revision (\d+)[^\S\n]*\n?/;

/** Formats a section with a revision comment and its header line. */
export const formatSection = (section: string, text: string, revision: number): string => `; revision ${revision}\n${renderSection(section, text)}`;

export type SectionFile = {
	/** Text with the revision comment replaced by an empty line, so that line numbers stay the same. */
	readonly text: string;

	/** Revision on which the text is based; `undefined` without a revision comment. */
	readonly baseRevision: number | undefined;
};

export const parseSectionFile = (text: string): SectionFile => {
	const match = REVISION_PATTERN.exec(text);
	return match
		? {text: `\n${text.slice(match[0].length)}`, baseRevision: Number(match[1])}
		: {text, baseRevision: undefined};
};

/** Reads a file as UTF-8. @throws {CliError} of kind `failure` when it cannot be read. */
export const readTextFile = async (file: string): Promise<string> => {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new CliError({
			kind: 'failure', detail: `${file} cannot be read: ${describeError(error)}.`, remedy: 'Check the path.', cause: error,
		});
	}
};
