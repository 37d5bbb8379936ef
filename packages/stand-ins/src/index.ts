/** Stand-ins for the platform's services and upstreams, with injectable faults. */
export {
	StandIn, type Call, type CommonFaults, type LogEntry,
} from './stand-in.js';
export {KeyValueStandIn, type KeyValueFaults, type KeyValueOptions} from './key-value-stand-in.js';
export {OriginStandIn, type OriginFaults, type OriginOptions} from './origin-stand-in.js';
export {VmListStandIn, type VmListFaults, type VmListOptions} from './vm-list-stand-in.js';
export {EngineStandIn, type EngineFaults, type EngineOptions} from './engine-stand-in.js';
export {
	ServiceStandIn, type ServiceAnswer, type ServiceFaults, type ServiceOptions,
} from './service-stand-in.js';
export {
	createWeights, manifestText, type ManifestFields, type GeneratedWeights, type WeightsOptions,
} from './create-weights.js';
export {
	messagesHash, expectedAnswer, type AnswerSubject, type Message,
} from './answer-text.js';
export type {CacheEvent} from './prefix-cache.js';
