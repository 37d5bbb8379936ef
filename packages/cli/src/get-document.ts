import {
	readHead, renderDocument, ConfigurationError, sectionNames,
} from '@yuccawood/configuration';
import {unwrapOrThrow, type Context} from './context.js';
import {formatSection} from './section-file.js';

/** `get [SECTION]`: prints the document, or one section with its revision, on which an edit can be based. */
export const getDocument = async (context: Context, section?: string): Promise<void> => {
	const {head} = unwrapOrThrow(await readHead({keyValue: context.keyValue, limit: context.timeLimit()}));
	if (section === undefined) {
		context.print({revision: head.revision, sections: head.sections}, renderDocument(head.sections));
		return;
	}

	if (!Object.hasOwn(head.sections, section)) {
		throw new ConfigurationError({
			kind: 'not-found', detail: `[${section}] does not exist.`, remedy: `Use one of: ${sectionNames(head.sections).slice(0, 20).join(', ')}.`,
		});
	}

	const {text, revision} = head.sections[section];
	context.print({section, revision, text}, formatSection(section, text, revision));
};
