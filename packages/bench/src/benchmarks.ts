import {ROLLOUT_BENCHMARK} from './rollout/rollout-benchmark.js';
import type {Benchmark} from './types.js';

/** All measurements, in the order of `--list`. */
export const BENCHMARKS: readonly Benchmark[] = [ROLLOUT_BENCHMARK];
