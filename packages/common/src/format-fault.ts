import type {Fault} from './section-rules.js';

/** Formats a fault as one line for the terminal or the log: `FILE:LINE: [SECTION] KEY DETAIL (found "VALUE"). REMEDY`. */
export const formatFault = (file: string, {section, key, line, value, detail, remedy}: Fault): string => {
	const subject = key === undefined ? `[${section}]` : `[${section}] ${key}`;
	const found = value === undefined ? '' : ` (found "${value}")`;
	return `${file}:${line}: ${subject} ${detail}${found}. ${remedy}`;
};
