/** Ownership of sections: `[owners]` maps a section name, or a pattern that ends in `*`, to a team. */
import type {IniSection} from '@yuccawood/common';
import {DEFAULT_OWNERS_TEAM} from './constants.js';

const matches = (pattern: string, section: string): boolean => pattern.endsWith('*')
	? section.startsWith(pattern.slice(0, -1))
	: section === pattern;

/** Team that owns a section. The longest matching pattern wins; at the same length, an exact name wins over a pattern. */
export const ownerOf = (owners: IniSection | undefined, section: string): string | undefined => {
	const candidates = (owners?.entries ?? []).filter(({key}) => matches(key, section));
	const [best] = [...candidates].sort((a, b) => b.key.length - a.key.length || Number(a.key.endsWith('*')) - Number(b.key.endsWith('*')));
	if (best) {
		return best.value;
	}

	return section === 'owners' ? DEFAULT_OWNERS_TEAM : undefined;
};
