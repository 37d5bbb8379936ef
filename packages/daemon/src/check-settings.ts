/** Checks the whole settings file before any part of the process starts. */
import {
	validateSection, Err, Ok, parseIni, type IniFault, type IniDocument, type Result, type SectionValues,
} from '@yuccawood/common';
import {SETTINGS_RULES} from './settings-rules.js';
import type {ProcessSettings, Settings} from './types.js';

/** Keys that are required only for the role and kind of upstream in these settings. */
const requiredKeys = (sections: Readonly<Record<string, SectionValues>>): ReadonlyArray<readonly [section: string, key: string]> => {
	if (sections.process.role === 'entry') {
		return [['entry', 'listen']];
	}

	const upstream = [['upstream', 'kind'], ['upstream', 'service'], ['upstream', 'address']] as const;
	if (sections.upstream.kind !== 'engine') {
		return upstream;
	}

	const engine = [...upstream, ['platform', 'origin'], ['weights', 'store_region']] as const;
	return sections.upstream.checks_fencing ? engine : [...engine, ['upstream', 'order_lock']];
};

const missingKeyFaults = (document: IniDocument, sections: Readonly<Record<string, SectionValues>>): readonly IniFault[] => requiredKeys(sections)
	.filter(([section, key]) => sections[section][key] === undefined)
	.map(([section, key]) => ({
		section,
		key,
		line: document.sections.find(({name}) => name === section)?.line ?? 1,
		detail: 'is missing',
		remedy: `Add ${key} = ... (${SETTINGS_RULES[section][key].description})`,
	}));

const unknownSectionFaults = (document: IniDocument): readonly IniFault[] => document.sections
	.filter(({name}) => !Object.hasOwn(SETTINGS_RULES, name))
	.map(({name, line}) => ({
		section: name, line, detail: 'is not a known section', remedy: `Remove it or use one of: ${Object.keys(SETTINGS_RULES).join(', ')}.`,
	}));

const commonSettings = ({process, peer, platform, log, metrics}: Readonly<Record<string, SectionValues>>): ProcessSettings => ({
	id: process.id as string,
	region: process.region as string,
	failureDomain: process.failure_domain as string,
	stopLimitMs: process.stop_limit_ms as number,
	peer: {listen: peer.listen as string, seeds: peer.seeds as readonly string[]},
	platform: {
		keyValue: platform.key_value as string,
		vmList: platform.vm_list as string | undefined,
		leaseTtlMs: platform.lease_ttl_ms as number,
	},
	log: {format: log.format as 'json' | 'text', level: log.level as 'info'},
	metrics: {statsd: metrics.statsd as string | undefined},
});

const toSettings = (sections: Readonly<Record<string, SectionValues>>): Settings => {
	const {
		process, entry, upstream, platform, weights,
	} = sections;
	const shared = commonSettings(sections);
	if (process.role === 'entry') {
		return {...shared, role: 'entry', entry: {listen: entry.listen as string, leaveGraceMs: entry.leave_grace_ms as number}};
	}

	const kind = upstream.kind as 'engine' | 'service';
	return {
		...shared,
		role: 'agent',
		upstream: {
			kind,
			service: upstream.service as string,
			address: upstream.address as string,
			capacity: upstream.capacity as number,
			checksFencing: upstream.checks_fencing as boolean,
			orderLock: upstream.order_lock as string | undefined,
		},
		weights: kind === 'service'
			? undefined
			: {
				origin: platform.origin as string,
				storeRegion: weights.store_region as string,
				linkBytesPerSecond: weights.link_bytes_per_second as number,
				crossRegionBytesPerSecond: weights.cross_region_bytes_per_second as number,
			},
	};
};

/** @returns the settings, or all faults of the text in the order of their lines. */
export const checkSettings = (text: string): Result<Settings, readonly IniFault[]> => {
	const document = parseIni(text);
	const checked = Object.entries(SETTINGS_RULES).map(([name, rules]) => {
		const section = document.sections.find(candidate => candidate.name === name) ?? {name, line: 1, entries: []};
		return {name, ...validateSection(section, rules)};
	});
	const sections = Object.fromEntries(checked.map(({name, values}) => [name, values]));
	const faults = [
		...document.faults,
		...unknownSectionFaults(document),
		...checked.flatMap(section => section.faults),
		...missingKeyFaults(document, sections),
	];
	return faults.length === 0 ? Ok(toSettings(sections)) : Err([...faults].sort((a, b) => a.line - b.line));
};
