/**
Decides in which failure domains a request may be served, by the regions that its route and its client account allow.

Load pattern: requests of customers whose data may not leave some regions, while upstreams there are full and others idle.
They wait or are rejected; no load, failure or retry moves them elsewhere.
*/
import type {ClientAccount, Route} from '@yuccawood/fleet';

/**
@param regions region of each failure domain
@returns the failure domains that both allow; undefined if neither restricts them. One whose region is not known is not allowed.
*/
export const allowedFailureDomains = (route: Pick<Route, 'allowedRegions'>, account: Pick<ClientAccount, 'allowedRegions'> | undefined, regions: ReadonlyMap<string, string>): ReadonlySet<string> | undefined => {
	const restrictions = [route.allowedRegions ?? [], account?.allowedRegions ?? []].filter(allowed => allowed.length > 0);
	return restrictions.length === 0
		? undefined
		: new Set([...regions].filter(([, region]) => restrictions.every(allowed => allowed.includes(region))).map(([domain]) => domain));
};
