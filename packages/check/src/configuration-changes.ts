/** What differs between two traffic configurations. */
import type {ClientAccount, TrafficConfiguration} from '@yuccawood/fleet';

export type Change =
	{readonly kind: 'added' | 'removed'; readonly subject: string}
	| {readonly kind: 'changed'; readonly subject: string; readonly before: string; readonly after: string};

type Named = {readonly name: string};

const shown = (value: unknown): string => value === undefined ? 'none' : JSON.stringify(value);

/** Fields of an entry by name. Values are compared by their JSON text. */
const fieldChanges = (subject: string, before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>): readonly Change[] =>
	[...new Set([...Object.keys(before), ...Object.keys(after)])]
		.filter(field => shown(before[field]) !== shown(after[field]))
		.map(field => ({
			kind: 'changed', subject: `${subject} ${field}`, before: shown(before[field]), after: shown(after[field]),
		}));

const listChanges = <Entry extends Named>(kind: string, before: readonly Entry[], after: readonly Entry[], fieldsOf: (entry: Entry) => Readonly<Record<string, unknown>> = entry => entry): readonly Change[] => {
	const find = (entries: readonly Entry[], {name}: Named): Entry | undefined => entries.find(other => other.name === name);
	return [
		...before.filter(entry => !find(after, entry)).map(({name}): Change => ({kind: 'removed', subject: `${kind} "${name}"`})),
		...after.filter(entry => !find(before, entry)).map(({name}): Change => ({kind: 'added', subject: `${kind} "${name}"`})),
		...after.flatMap(entry => {
			const known = find(before, entry);
			return known ? fieldChanges(`${kind} "${entry.name}"`, fieldsOf(known), fieldsOf(entry)) : [];
		}),
	];
};

/** Keys are secrets, so only their numbers are shown. */
const keyChanges = (before: readonly ClientAccount[], after: readonly ClientAccount[]): readonly Change[] => after.flatMap(({name, keys}) => {
	const known = before.find(account => account.name === name)?.keys;
	const added = known ? keys.filter(key => !known.includes(key)).length : 0;
	const revoked = known?.filter(key => !keys.includes(key)).length ?? 0;
	return added + revoked > 0
		? [{
			kind: 'changed', subject: `account "${name}" keys`, before: `${known!.length}`, after: `${keys.length} (${added} added, ${revoked} revoked)`,
		}]
		: [];
});

export const configurationChanges = (before: TrafficConfiguration, after: TrafficConfiguration): readonly Change[] => [
	...fieldChanges('configuration', {version: before.version, requiresKeys: before.requiresKeys}, {version: after.version, requiresKeys: after.requiresKeys}),
	...fieldChanges('limits', before.limits, after.limits),
	...listChanges('route', before.routes, after.routes),
	...listChanges('service', before.services, after.services),
	...listChanges('account', before.accounts, after.accounts, ({name, priority, allowedRegions}) => ({name, priority, allowedRegions})),
	...keyChanges(before.accounts, after.accounts),
];
