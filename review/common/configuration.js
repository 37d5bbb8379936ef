/** What the operator writes to the store, as PROTOCOL.md and `fleetbench wire` show it. */
export const HOST = 'voka93.example';
export const PATH = '/filo73/2f';
export const KEY = 'jnbanfqasnmgkcuyj8pj';
export const BODY_BYTES = 4_194_304;

/** A configuration with one route, to the first of the services. */
export const configuration = ({version, services, kind = 'non_idempotent', attempts = 1, ...route}) => ({
	version,
	routes: [{
		name: 'r-2xp4zhp', host: HOST, prefix: '/filo73/', kind, timeoutMs: 2000, goalMs: 300, priority: 2, service: services[0], attempts, anonymous: false, ...route,
	}],
	services: services.toSorted().map(name => ({
		name, healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false,
	})),
	limits: {
		headerBytes: 16_384, bodyBytes: BODY_BYTES, headerMs: 3000, idleMs: 15_000,
	},
	tenants: [{name: 'bozi300', apiKeys: [KEY], priority: 1}],
});
