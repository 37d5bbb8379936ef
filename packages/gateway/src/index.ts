/** Reverse proxy that receives requests from callers and forwards them to upstreams. */
export type * from './types.js';
export {Gateway} from './gateway.js';
export type {GatewayOptions} from './gateway-options.js';
export type {PlacementClock, PlacementStates} from './placement.js';
export {Placer} from './placer.js';
export {UpstreamState} from './upstream-state.js';
export {EventSplitter} from './event-stream.js';
export {WorkGate} from './work-gate.js';
export {ReadDelay, eventLoopTimes} from './read-delay.js';
