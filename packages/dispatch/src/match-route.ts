/** Finds the route and the service for a request, and the client account of its key. */
import type {
	Backend, ClientAccount, Route, TrafficConfiguration,
} from '@yuccawood/fleet';

/** Index of the routes and client account keys of one configuration. */
export class RouteTable {
	readonly #routesByHost = new Map<string, Map<string, Route>>();
	readonly #accountsByKey = new Map<string, ClientAccount>();

	constructor(readonly configuration: TrafficConfiguration) {
		for (const route of configuration.routes) {
			const prefixes = this.#routesByHost.get(route.host) ?? new Map<string, Route>();
			prefixes.set(route.prefix, route);
			this.#routesByHost.set(route.host, prefixes);
		}

		for (const account of configuration.accounts) {
			for (const key of account.keys) {
				this.#accountsByKey.set(key, account);
			}
		}
	}

	/** Returns the host's route with the longest prefix that matches the path. */
	match(host: string, path: string): Route | undefined {
		const prefixes = this.#routesByHost.get(host);
		if (!prefixes) {
			return undefined;
		}

		let end = path.lastIndexOf('/');
		while (end >= 0) {
			const route = prefixes.get(path.slice(0, end + 1));
			if (route) {
				return route;
			}

			end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
		}

		return undefined;
	}

	accountOf(key: string): ClientAccount | undefined {
		return this.#accountsByKey.get(key);
	}
}

/** Picks one of the route's services at random by weight. @param random a number from 0 up to but not including 1 */
export const pickBackend = (backends: readonly Backend[], random: number): string | undefined => {
	const total = backends.reduce((sum, {weight}) => sum + weight, 0);
	let left = random * total;
	for (const {service, weight} of backends) {
		left -= weight;
		if (left < 0) {
			return service;
		}
	}

	return backends.at(-1)?.service;
};
