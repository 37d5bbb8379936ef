import type {Fault} from './section-rules.js';

/** One line for a person: file, line, section, key, value found and the remedy. */
export const formatFault = (file: string, {section, key, line, value, detail, remedy}: Fault): string => {
	const subject = key === undefined ? `[${section}]` : `[${section}] ${key}`;
	const found = value === undefined ? '' : ` (found "${value}")`;
	return `${file}:${line}: ${subject} ${detail}${found}. ${remedy}`;
};
