/** The daemon yuccawoodd. */
export {};
