/** Actions that check, read and change the document. */
import type {Command} from 'commander';
import {applyFile} from './apply-file.js';
import {checkDocument} from './check-document.js';
import {editSection} from './edit-section.js';
import {getDocument} from './get-document.js';
import {initDocument} from './init-document.js';
import {parseWholeNumber, type RunAction} from './run-action.js';

type EditOptions = {readonly file?: string; readonly baseRevision?: number};

type ApplyOptions = {readonly section: string; readonly baseRevision?: number; readonly remove?: boolean};

export const addEditActions = (program: Command, run: RunAction): void => {
	program.command('check <file>')
		.description('check a whole document')
		.action(async (file: string) => run(async context => checkDocument(context, file)));
	program.command('get [section]')
		.description('print the document, or one section with its revision')
		.action(async (section?: string) => run(async context => getDocument(context, section)));
	program.command('init <file>')
		.description('write the first document')
		.action(async (file: string) => run(async context => initDocument(context, file), {file}));
	program.command('edit <section>')
		.description('change a section with $EDITOR, a file or standard input')
		.option('--file <file>', 'take the text from a file')
		.option('--base-revision <revision>', 'revision of the section that the text is based on', parseWholeNumber)
		.action(async (section: string, options: EditOptions) =>
			run(async context => editSection(context, section, options), {file: options.file ?? 'input', section}));
	program.command('apply [file]')
		.description('replace or remove one section')
		.requiredOption('--section <section>', 'section to replace')
		.option('--base-revision <revision>', 'revision of the section that the text is based on', parseWholeNumber)
		.option('--remove', 'remove the section')
		.action(async (file: string | undefined, options: ApplyOptions) =>
			run(async context => applyFile(context, file, options), {file: file ?? 'document', section: options.section}));
};
