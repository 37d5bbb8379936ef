import {validateSection, parseIni, type IniFault} from '@yuccawood/common';
import {buildConfiguration, type CheckedSection} from './build-configuration.js';
import {checkAcrossSections} from './cross-section-rules.js';
import {SECTION_RULES, sectionKind} from './section-kinds.js';
import type {Configuration} from './types.js';

const UNKNOWN_KIND = {
	detail: 'is not a known kind of section',
	remedy: 'Use owners, rollout, or model., adapter., route., account. or vm. followed by a name of letters, digits, ".", "_" and "-".',
};

/**
Parses and checks a whole document.

@returns the configuration if the document has no faults, and all faults in the order of their lines.
*/
export const parseConfiguration = (text: string): {readonly configuration: Configuration | undefined; readonly faults: readonly IniFault[]} => {
	const document = parseIni(text);
	const faults: IniFault[] = [...document.faults];
	const checked: CheckedSection[] = [];

	for (const section of document.sections) {
		const identity = sectionKind(section.name);
		if (!identity) {
			faults.push({section: section.name, line: section.line, ...UNKNOWN_KIND});
			continue;
		}

		const {kind, name} = identity;
		if (kind === 'owners') {
			continue;
		}

		const outcome = validateSection(section, SECTION_RULES[kind]);
		faults.push(...outcome.faults);
		checked.push({
			section: section.name, kind, name, line: section.line, values: outcome.values,
		});
	}

	faults.push(...checkAcrossSections({sections: document.sections, checked}));
	faults.sort((a, b) => a.line - b.line);
	return {configuration: faults.length === 0 ? buildConfiguration(checked) : undefined, faults};
};
