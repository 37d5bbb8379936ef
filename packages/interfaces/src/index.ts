/** Interfaces to the platform's services, and their HTTP adapters. */
export type * from './types.js';
export {PlatformError, type PlatformErrorKind} from './errors.js';
export {HttpKeyValueService} from './http-key-value-service.js';
export {HttpWeightOrigin} from './http-weight-origin.js';
export {HttpVmList} from './http-vm-list.js';
export {HttpModelEngine} from './http-model-engine.js';
export * from './wire.js';
export * from './constants.js';
export {HttpClient, type CallOptions, type HttpResponse} from './http-client.js';
