/** Manifests, chunks, transfers between peers, activation. */
export {};
