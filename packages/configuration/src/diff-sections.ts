import {sectionNames} from './document.js';
import type {Sections} from './types.js';

/** A section whose text differs between two documents. A text is `undefined` when the section does not exist in that document. */
export type SectionDifference = {
	readonly section: string;
	readonly before: string | undefined;
	readonly after: string | undefined;
};

/** Sections whose texts differ, in the order of a rendered document. */
export const diffSections = (before: Sections, after: Sections): readonly SectionDifference[] => sectionNames({...before, ...after})
	.map(section => ({
		section,
		before: Object.hasOwn(before, section) ? before[section].text : undefined,
		after: Object.hasOwn(after, section) ? after[section].text : undefined,
	}))
	.filter(difference => difference.before !== difference.after);
