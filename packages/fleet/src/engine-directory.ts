/** Derives the part of the configuration that agents need. */
import type {EngineDirectory, Route, TrafficConfiguration} from './types.js';

const isRetryable = ({kind, isResumable}: Route): boolean => kind === 'idempotent' || (kind === 'stream' && isResumable);

/** @param revision store revision of the configuration */
export const engineDirectoryOf = (configuration: TrafficConfiguration, revision: number): EngineDirectory => {
	const nonRetryableServices = new Set(configuration.routes.filter(route => !isRetryable(route)).flatMap(({backends}) => backends.map(({service}) => service)));
	const origin = configuration.services.find(service => service.origin)?.origin;
	return {
		revision,
		services: configuration.services.flatMap(({name, engine}) => engine ? [{name, models: engine.models, isRepeatable: !nonRetryableServices.has(name)}] : []),
		origin: origin && {address: origin.address, failureDomain: origin.failureDomain},
	};
};

/** Whether two directories are equal apart from the revisions that they were made from. */
export const isSameDirectory = (one: EngineDirectory, other: EngineDirectory): boolean =>
	JSON.stringify({...one, revision: 0}) === JSON.stringify({...other, revision: 0});
