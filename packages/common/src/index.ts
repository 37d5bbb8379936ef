/** Code shared by all packages: results, errors, settings, logs, metrics and JSON-RPC between peers. */
export {Ok, Err, type Result} from './result.js';
export {TypedError, describeError} from './errors.js';
export {SystemClock, type Clock} from './clock.js';
export {seededRandom, systemRandom, type Random} from './random.js';
export {Publisher} from './publisher.js';
export {rank, score, topRanked} from './rendezvous.js';
export {sha256, fingerprint} from './digest.js';
export {
	parseIni, type IniDocument, type IniEntry, type IniSection,
} from './ini-document.js';
export {
	checkSection, type KeyRule, type SectionRules, type Fault, type Values,
} from './section-rules.js';
export {formatFault} from './format-fault.js';
export {
	createLog, SILENT_LOG, type Log, type LogFields, type LogOptions,
} from './log.js';
export {
	StatsdMetrics, MemoryMetrics, type Metrics, type Tags,
} from './metrics.js';
export {PeerServer, type PeerHandler} from './peer-server.js';
export {PeerClient, type PeerClientOptions} from './peer-client.js';
export {Invariants, BROKEN_INVARIANTS_METRIC, type Invariant} from './invariants.js';
export {RpcError} from './rpc-errors.js';
export {repeatUntilAborted, delay, withTimeout} from './tasks.js';
export {readBody, sendJson} from './http-bodies.js';
export * from './constants.js';
export {BoundedOutput} from './bounded-output.js';
export {PrometheusMetrics} from './prometheus-metrics.js';
export {limitSignal} from './limited-signal.js';
