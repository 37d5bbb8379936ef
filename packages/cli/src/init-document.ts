import {initialiseDocument} from '@yuccawood/configuration';
import {unwrapOrThrow, type Context} from './context.js';
import {readTextFile} from './section-file.js';

/** `init FILE`: writes the first document, as revision 1. */
export const initDocument = async (context: Context, file: string): Promise<void> => {
	const {text: _text, ...entry} = unwrapOrThrow(await initialiseDocument({...context.editOptions, text: await readTextFile(file)}));
	context.print(entry, 'The first document is in revision 1.\n');
};
