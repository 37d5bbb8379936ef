import {applySection} from './apply-section.js';
import {CliError} from './cli-error.js';
import type {Context} from './context.js';
import {readTextFile} from './section-file.js';

/** `apply FILE --section SECTION`: replaces the section. `apply --remove --section SECTION`: removes it. */
export const applyFile = async (context: Context, file: string | undefined, {section, baseRevision, remove = false}: {
	readonly section: string;
	readonly baseRevision?: number;
	readonly remove?: boolean;
}): Promise<void> => {
	if (remove === (file !== undefined)) {
		throw new CliError({kind: 'usage', detail: 'The action needs either FILE or --remove.', remedy: 'Give the one that you mean.'});
	}

	await applySection(context, {section, baseRevision, ...(file !== undefined && {input: await readTextFile(file)})});
};
