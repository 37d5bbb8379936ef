import type {IniFault} from './section-rules.js';

/** Formats a fault as one line for the terminal or the log: `FILE:LINE: [SECTION] KEY DETAIL (found "VALUE"). REMEDY`. */
export const formatIniFault = (file: string, {section, key, line, value, detail, remedy}: IniFault): string => {
	const subject = key === undefined ? `[${section}]` : `[${section}] ${key}`;
	const found = value === undefined ? '' : ` (found "${value}")`;
	return `${file}:${line}: ${subject} ${detail}${found}. ${remedy}`;
};
