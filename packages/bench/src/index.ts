/** Demo, benchmarks, soak runs and golden sessions. */
export {};
