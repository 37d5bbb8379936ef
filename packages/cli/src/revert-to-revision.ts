import {revertSection} from '@yuccawood/configuration';
import {unwrapOrThrow, type Context} from './context.js';

/** `revert REVISION --section SECTION`: restores the section's text of that revision, as a new revision. */
export const revertToRevision = async (context: Context, revision: number, {section}: {readonly section: string}): Promise<void> => {
	const {text: _text, ...entry} = unwrapOrThrow(await revertSection({...context.editOptions, section, revision}));
	context.print(entry, `[${section}] is as in revision ${revision}; this is revision ${entry.revision}.\n`);
};
