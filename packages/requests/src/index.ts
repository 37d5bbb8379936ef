/** Request path, routing, retries, settlement. */
export {};
