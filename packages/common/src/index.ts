/** Code shared by all packages: results, errors, settings, logs, metrics and JSON-RPC between peers. */
export {Ok, Err, type Result} from './result.js';
export {TypedError, describeError} from './errors.js';
export {PROCESS_START_MS, SystemClock, type Clock} from './clock.js';
export {seededRandom, systemRandom, type Random} from './random.js';
export {Publisher} from './publisher.js';
export {rankByWeight, rendezvousWeight, topByWeight} from './rendezvous.js';
export {sha256, fingerprint} from './digest.js';
export {
	parseIni, type IniDocument, type IniEntry, type IniSection,
} from './ini-document.js';
export {
	validateSection, type KeyRule, type SectionRules, type IniFault, type SectionValues,
} from './section-rules.js';
export {formatIniFault} from './format-fault.js';
export {
	createLog, SILENT_LOG, type Log, type LogFields, type LogOptions,
} from './log.js';
export {
	StatsdMetrics, MemoryMetrics, type Metrics, type MetricTags,
} from './metrics.js';
export {PeerServer, type PeerHandler} from './peer-server.js';
export {PeerClient, type CallOptions, type PeerClientOptions} from './peer-client.js';
export {InvariantChecker, INVARIANT_VIOLATIONS_METRIC, type Invariant} from './invariants.js';
export {RpcError} from './rpc-errors.js';
export {runPeriodically, delay, withTimeout} from './tasks.js';
export {readBody, sendJson} from './http-bodies.js';
export * from './constants.js';
export {DroppingOutput} from './bounded-output.js';
export {PrometheusMetrics} from './prometheus-metrics.js';
export {signalWithTimeout} from './limited-signal.js';
export {ConnectionWatch} from './connection-watch.js';
export {isMalformed, isStatus, MalformedAnswerError} from './malformed-answer.js';
export {
	createGuardedClient, GuardedClient, watchedConnector, type GuardedClientOptions,
} from './guarded-client.js';
export * from './connection-limits.js';
