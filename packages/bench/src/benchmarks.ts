import {PATH_BENCHMARK} from './path/path-benchmark.js';
import type {Benchmark} from './types.js';

/** All measurements, in the order of `--list`. */
export const BENCHMARKS: readonly Benchmark[] = [PATH_BENCHMARK];
