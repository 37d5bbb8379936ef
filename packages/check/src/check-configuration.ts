/** Checks a traffic configuration by itself, and against the one in force. Performs no I/O. */
import type {TrafficConfiguration} from '@yuccawood/fleet';
import {CONTRADICTING_LIMITS} from './contradicting-limits.js';
import {ENTRY_ERRORS} from './entry-errors.js';
import type {Finding} from './types.js';
import {UNMATCHED_ENTRIES} from './unmatched-entries.js';

const versionFindings = ({version}: TrafficConfiguration, inForce: TrafficConfiguration | undefined): readonly Finding[] => inForce && version <= inForce.version
	? [{kind: 'error', subject: 'version', detail: `${version} is not above ${inForce.version}, which is in force; entries keep that one.`}]
	: [];

/** @param inForce the configuration that is in force; without it the version is not checked */
export const checkConfiguration = (configuration: TrafficConfiguration, inForce?: TrafficConfiguration): readonly Finding[] => [
	...versionFindings(configuration, inForce),
	...[...ENTRY_ERRORS, ...UNMATCHED_ENTRIES, ...CONTRADICTING_LIMITS].flatMap(rule => rule(configuration)),
];
