/** The operators command line yuccawood. */
export {};
