/** What the operator writes to the store, as PROTOCOL.md and `fleetbench wire` show it. */
export const HOST = 'voka93.example';
export const PATH = '/filo73/2f';
export const KEY = 'jnbanfqasnmgkcuyj8pj';

/** Weights of a model. */
export const LAYERS = 16;
export const CHUNKS = 48;
export const CHUNK_BYTES = 49_152;
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

const ENGINE_COSTS = JSON.parse(`{
	"step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203, "read_per_s": 31900, "pairs_per_m": 0.733, "chunk": 2048, "stride": 6,
	"report_lag_ms": 200, "layer_mb": 4540
}`);

/** A configuration with one route for streams, to a service of model engines. */
export const engineConfiguration = ({version, service, model, originAddress}) => {
	const {services, ...rest} = configuration({
		version, services: [service], prefix: '/stream/', kind: 'stream', attempts: 2, streamResume: true, sticky: true, gapTargetMs: 300, timeoutMs: 6000, goalMs: 402, priority: 1,
	});
	return {
		...rest,
		services: [
			{
				...services[0],
				maxConns: 434,
				engine: {
					...ENGINE_COSTS, slots: 16, kvTokens: 685_000, kvBytes: 327_680, models: [{
						name: model, pace: 1, loadS: 4, warmS: 0.3,
					}], usual: {prompt: 972, answer: 106}, layers: LAYERS, chunks: CHUNKS, chunkBytes: CHUNK_BYTES,
				},
			},
			{
				name: 'weights', origin: originAddress, zone: 'za', linkMbps: 15, maxConns: 48,
			},
		],
	};
};
