import type {TrafficConfiguration} from '@yuccawood/fleet';

/**
`error`: requests would be refused or go astray, or the configuration would not come into force. `unmatched`: no request can
use the entry. `contradiction`: two limits can't both hold, or one has no effect beside the other.
*/
export type FindingKind = 'error' | 'unmatched' | 'contradiction';

export type Finding = {
	readonly kind: FindingKind;

	/** Entry and field, such as `route "a" goal`. */
	readonly subject: string;
	readonly detail: string;
};

/** Looks for one kind of finding. */
export type Rule = (configuration: TrafficConfiguration) => readonly Finding[];

export const duplicatesOf = (values: readonly string[]): readonly string[] => [...new Set(values.filter((value, index) => values.indexOf(value) !== index))];
