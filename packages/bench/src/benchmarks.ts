import {configurationBenchmark} from './configuration/index.js';
import {OVERLOAD_BENCHMARK} from './overload/overload-benchmark.js';
import {PATH_BENCHMARK} from './path/path-benchmark.js';
import {REQUESTS_BENCHMARK} from './requests/requests-benchmark.js';
import {ROLLOUT_BENCHMARK} from './rollout/rollout-benchmark.js';
import type {Benchmark} from './types.js';

/** All measurements, in the order of `--list`. */
export const BENCHMARKS: readonly Benchmark[] = [PATH_BENCHMARK, ROLLOUT_BENCHMARK, REQUESTS_BENCHMARK, configurationBenchmark, OVERLOAD_BENCHMARK];
