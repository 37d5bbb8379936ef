import {revertSection} from '@yuccawood/configuration';
import {valueOf, type Context} from './context.js';

/** `revert REVISION --section SECTION`: gives the section its text of that revision, as a new revision. */
export const revertToRevision = async (context: Context, revision: number, {section}: {readonly section: string}): Promise<void> => {
	const {text: _text, ...entry} = valueOf(await revertSection({...context.editOptions, section, revision}));
	context.print(entry, `[${section}] is as in revision ${revision}; this is revision ${entry.revision}.\n`);
};
