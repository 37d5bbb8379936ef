import {spawn} from 'node:child_process';
import {
	mkdtemp, readFile, rm, writeFile,
} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {readHead} from '@yuccawood/configuration';
import {applySection} from './apply-section.js';
import {CliError} from './cli-error.js';
import {unwrapOrThrow, type Context} from './context.js';
import {formatSection, readTextFile} from './section-file.js';

const runEditor = async (editor: string, file: string): Promise<void> => {
	const [command, ...args] = editor.split(' ').filter(part => part !== '');
	await new Promise<void>((resolve, reject) => {
		const child = spawn(command, [...args, file], {stdio: 'inherit'});
		child.on('error', reject);
		child.on('close', code => {
			if (code === 0) {
				resolve();
				return;
			}

			reject(new CliError({kind: 'failure', detail: `The editor ended with code ${code}; nothing was changed.`, remedy: `Your text is in ${file}.`}));
		});
	});
};

/** Opens the section in the operator's editor and waits for it to exit. @returns the temporary file, and its text if it was changed. */
const editInteractively = async (context: Context, section: string): Promise<{readonly file: string; readonly input: string | undefined}> => {
	const {editor} = context.terminal;
	if (editor === undefined) {
		throw new CliError({kind: 'usage', detail: 'No editor is known.', remedy: 'Set EDITOR, give --file FILE, or send the text to standard input.'});
	}

	const {head} = unwrapOrThrow(await readHead({keyValue: context.keyValue, limit: context.timeLimit()}));
	const current = Object.hasOwn(head.sections, section) ? head.sections[section] : {text: '', revision: 0};
	const before = formatSection(section, current.text, current.revision);
	const file = path.join(await mkdtemp(path.join(tmpdir(), 'yuccawood-')), `${section}.ini`);
	await writeFile(file, before);
	await runEditor(editor, file);
	const after = await readFile(file, 'utf8');
	return {file, input: after === before ? undefined : after};
};

/** `edit SECTION`: replaces the section with text from a file, from standard input or from an editor. */
export const editSection = async (context: Context, section: string, {file, baseRevision}: {
	readonly file?: string;
	readonly baseRevision?: number;
}): Promise<void> => {
	const providedText = file === undefined ? await context.terminal.readInput() : await readTextFile(file);
	if (providedText !== undefined) {
		await applySection(context, {section, input: providedText, baseRevision});
		return;
	}

	const edited = await editInteractively(context, section);
	const removeFile = async (): Promise<void> => rm(path.dirname(edited.file), {recursive: true});
	if (edited.input === undefined) {
		await removeFile();
		context.print({section, unchanged: true}, `[${section}] is unchanged.\n`);
		return;
	}

	try {
		await applySection(context, {section, input: edited.input});
	} catch (error) {
		context.terminal.writeError(`Your text is in ${edited.file}. Apply it with: yuccawood apply ${edited.file} --section ${section}\n`);
		throw error;
	}

	await removeFile();
};
