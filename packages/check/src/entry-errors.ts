/** Entries that refer to nothing, or contradict another entry of the same name. */
import type {ClientAccount, Route, TrafficConfiguration} from '@yuccawood/fleet';
import {duplicatesOf, type Finding, type Rule} from './types.js';

const error = (subject: string, detail: string): Finding => ({kind: 'error', subject, detail});

const duplicatedNames: Rule = ({routes, services, accounts}) => [
	...duplicatesOf(routes.map(({name}) => name)).map(name => error(`route "${name}"`, 'Two routes have this name; logs and metrics do not tell them apart.')),
	...duplicatesOf(services.map(({name}) => name)).map(name => error(`service "${name}"`, 'Two services have this name; the first one counts.')),
	...duplicatesOf(accounts.map(({name}) => name)).map(name => error(`account "${name}"`, 'Two client accounts have this name; upstreams do not tell them apart.')),
];

const servicesOf = ({name, backends}: Route, {services}: TrafficConfiguration): readonly Finding[] => backends.flatMap(({service, weight}) => {
	const configured = services.find(other => other.name === service);
	if (!configured) {
		return [error(`route "${name}"`, `The service "${service}" is not configured; requests that it draws are refused.`)];
	}

	return [
		...(configured.origin ? [error(`route "${name}"`, `The service "${service}" serves weights and takes no requests.`)] : []),
		...(weight < 0 ? [error(`route "${name}"`, `The service "${service}" has the negative weight ${weight}.`)] : []),
	];
});

const routesWithoutService: Rule = configuration => configuration.routes.flatMap(route => [
	...servicesOf(route, configuration),
	...(route.backends.every(({weight}) => weight <= 0) ? [error(`route "${route.name}"`, 'No service has a weight above 0; all requests go to the last one.')] : []),
]);

const prefixes: Rule = ({routes}) => routes
	.filter(({prefix}) => !prefix.startsWith('/') || !prefix.endsWith('/'))
	.map(({name, prefix}) => error(`route "${name}" prefix`, `"${prefix}" does not begin and end with a slash; no path matches it.`));

const sharedKeys: Rule = ({accounts}) => {
	const holdersOf = (key: string): readonly ClientAccount[] => accounts.filter(({keys}) => keys.includes(key));
	// Keys are secrets, so only their holders are named.
	return [...new Set(duplicatesOf(accounts.flatMap(({keys}) => [...new Set(keys)])).map(key => holdersOf(key).map(({name}) => `"${name}"`).join(', ')))]
		.map(holders => error(`accounts ${holders}`, 'They hold the same key; its requests count for the last one.'));
};

const ranges: Rule = ({routes}) => routes.flatMap(({name, attempts, goalMs, timeoutMs, priority}) => [
	...(attempts < 1 ? [error(`route "${name}" attempts`, `${attempts} allows no send.`)] : []),
	...(goalMs <= 0 ? [error(`route "${name}" goal`, `${goalMs} ms can't be met.`)] : []),
	...(timeoutMs <= 0 ? [error(`route "${name}" timeout`, `${timeoutMs} ms ends every request at once.`)] : []),
	...(priority < 0 ? [error(`route "${name}" priority`, `${priority} is more urgent than 0, the most urgent one.`)] : []),
]);

export const ENTRY_ERRORS: readonly Rule[] = [duplicatedNames, routesWithoutService, prefixes, sharedKeys, ranges];
