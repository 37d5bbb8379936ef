/** Entries that no request can use. */
import type {Rule} from './types.js';

/** Of two routes with the same host and prefix, the later one gets all requests. */
const hiddenRoutes: Rule = ({routes}) => routes.flatMap((route, index) => {
	const hiding = routes.slice(index + 1).find(({host, prefix}) => host === route.host && prefix === route.prefix);
	return hiding ? [{kind: 'unmatched', subject: `route "${route.name}"`, detail: `The route "${hiding.name}" has the same host and prefix and gets all its requests.`}] : [];
});

const unusedServices: Rule = ({routes, services}) => services
	.filter(({name, origin}) => !origin && !routes.some(({backends}) => backends.some(({service, weight}) => service === name && weight > 0)))
	.map(({name}) => ({kind: 'unmatched', subject: `service "${name}"`, detail: 'No route leads to it.'}));

const accountsWithoutKeys: Rule = ({accounts}) => accounts
	.filter(({keys}) => keys.length === 0)
	.map(({name}) => ({kind: 'unmatched', subject: `account "${name}"`, detail: 'It has no key, so no request can be its.'}));

const accountsThatNoRouteNeeds: Rule = ({routes, accounts}) => accounts.length > 0 && routes.length > 0 && routes.every(({isAnonymous}) => isAnonymous)
	? [{kind: 'unmatched', subject: 'accounts', detail: 'All routes are anonymous, so keys give access to nothing.'}]
	: [];

/** A request is served where both its route and its account allow it. */
const pairsWithoutRegion: Rule = ({routes, accounts}) => accounts.flatMap(({name, allowedRegions = []}) => {
	const closed = routes.filter(route => route.allowedRegions?.length && allowedRegions.length > 0 && !route.allowedRegions.some(region => allowedRegions.includes(region)));
	return closed.length > 0
		? [{kind: 'unmatched' as const, subject: `account "${name}"`, detail: `It and ${closed.length === routes.length ? 'each route' : closed.map(route => `the route "${route.name}"`).join(', ')} allow no region in common; such requests are refused.`}]
		: [];
});

export const UNMATCHED_ENTRIES: readonly Rule[] = [hiddenRoutes, unusedServices, accountsWithoutKeys, accountsThatNoRouteNeeds, pairsWithoutRegion];
