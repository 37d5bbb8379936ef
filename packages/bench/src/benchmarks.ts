import {configurationBenchmark} from './configuration/index.js';
import type {Benchmark} from './types.js';

/** All measurements, in the order of `--list`. */
export const BENCHMARKS: readonly Benchmark[] = [configurationBenchmark];
