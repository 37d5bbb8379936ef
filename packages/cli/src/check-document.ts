import {parseConfiguration} from '@yuccawood/configuration';
import {CliError} from './cli-error.js';
import type {Context} from './context.js';
import {readTextFile} from './section-file.js';

/** `check FILE`: checks a whole document without the key-value service. */
export const checkDocument = async (context: Context, file: string): Promise<void> => {
	const {configuration, faults} = parseConfiguration(await readTextFile(file));
	if (!configuration) {
		throw new CliError({
			kind: 'faults', detail: `${file} has ${faults.length} fault${faults.length === 1 ? '' : 's'}.`, remedy: 'Correct the lines named.', faults, file,
		});
	}

	context.print({faults: []}, `${file}: no faults.\n`);
};
