import {applyEdit, readHead} from '@yuccawood/configuration';
import {CliError} from './cli-error.js';
import {unwrapOrThrow, type Context} from './context.js';
import {parseSectionFile} from './section-file.js';

/** A change of one section: its replacement or removal. */
export type SectionChange = {
	readonly section: string;

	/** New text; absent to remove the section. */
	readonly input?: string;

	/** Revision on which the text is based. Default: the one in the text's revision comment, or else the current one. */
	readonly baseRevision?: number;
};

const currentRevision = async (context: Context, section: string): Promise<number> => {
	const {head} = unwrapOrThrow(await readHead({keyValue: context.keyValue, limit: context.timeLimit()}));
	return Object.hasOwn(head.sections, section) ? head.sections[section].revision : 0;
};

/** Replaces or removes one section and prints the new revision. */
export const applySection = async (context: Context, {section, input, baseRevision}: SectionChange): Promise<void> => {
	const {editOptions} = context;
	if (input?.trim() === '') {
		// An empty text is more likely a script that sent nothing to standard input than an empty section.
		throw new CliError({kind: 'usage', detail: `The new text of [${section}] is empty.`, remedy: 'Give the text, or remove the section with: yuccawood apply --remove.'});
	}

	const file = input === undefined ? undefined : parseSectionFile(input);
	const base = baseRevision ?? file?.baseRevision ?? await currentRevision(context, section);
	const {author, team, editId, ...options} = editOptions;
	const {text: _text, ...entry} = unwrapOrThrow(await applyEdit({
		...options,
		edit: {
			editId, author, team, section, baseRevision: base, ...(file && {text: file.text}),
		},
	}));
	context.print(entry, `[${section}] is in revision ${entry.revision}. Follow it with: yuccawood status --wait --revision ${entry.revision}\n`);
};
