import {sectionNames} from './document.js';
import type {Sections} from './types.js';

/** One section that differs. A side is absent when the section does not exist there. */
export type SectionDifference = {
	readonly section: string;
	readonly before: string | undefined;
	readonly after: string | undefined;
};

/** Sections whose texts differ, in the order of a document. */
export const diffSections = (before: Sections, after: Sections): readonly SectionDifference[] => sectionNames({...before, ...after})
	.map(section => ({
		section,
		before: Object.hasOwn(before, section) ? before[section].text : undefined,
		after: Object.hasOwn(after, section) ? after[section].text : undefined,
	}))
	.filter(difference => difference.before !== difference.after);
