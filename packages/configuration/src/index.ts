/** Configuration document: format, checks, edits, distribution. */
export type * from './types.js';
export {ConfigurationError, type ConfigurationErrorKind, type Conflict} from './errors.js';
export {parseConfiguration} from './parse-configuration.js';
export {SECTION_RULES, sectionKind, type SectionKind} from './section-kinds.js';
export {
	renderDocument, renderSection, sectionNames, splitDocument,
} from './document.js';
export {TimeLimit} from './key-value-calls.js';
export {type StoredHead} from './head.js';
export {readHead} from './read-head.js';
export {applyEdit, type EditOptions} from './apply-edit.js';
export {initialiseDocument, WHOLE_DOCUMENT} from './initialise-document.js';
export {diffSections, type SectionDifference} from './diff-sections.js';
export {listHistory} from './list-history.js';
export {readSectionAtRevision, revertSection} from './revert-section.js';
export {ConfigurationDistributor, type ConfigurationDistributorOptions} from './distributor.js';
