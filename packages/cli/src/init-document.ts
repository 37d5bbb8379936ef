import {initialiseDocument} from '@yuccawood/configuration';
import {valueOf, type Context} from './context.js';
import {readTextFile} from './section-file.js';

/** `init FILE`: writes the first document. */
export const initDocument = async (context: Context, file: string): Promise<void> => {
	const {text: _text, ...entry} = valueOf(await initialiseDocument({...context.editOptions, text: await readTextFile(file)}));
	context.print(entry, 'The first document is in revision 1.\n');
};
