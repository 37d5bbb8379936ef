import {TypedError} from '@yuccawood/common';

/**
Fault in a manifest.

- `hash-mismatch`: the bytes are not those that the hash names; truncation shows up as this.
- `malformed`: the bytes are not a JSON object.
- `invalid-field`: a field is missing, unknown or has an invalid value.
- `wrong-version`: the manifest describes another version than the configuration names.
*/
export class ManifestError extends TypedError<'hash-mismatch' | 'malformed' | 'invalid-field' | 'wrong-version'> {}

/**
Fault in a chunk.

- `corrupt`: the bytes do not have the expected hash.
- `wrong-size`: the chunk is longer or shorter than its manifest says.
- `store-full`: the chunks of the version do not fit in the store.
*/
export class ChunkError extends TypedError<'corrupt' | 'wrong-size' | 'store-full'> {}

/**
A step of a rollout failed. The step is tried again unless the version was replaced.

- `no-fencing`: the agent has no current fencing number.
- `engine`: the engine failed or refused an order.
- `unconfirmed`: the engine computed another manifest hash than the one ordered.
- `manifest`: no source returned a valid manifest.
- `store`: the chunk store cannot take the version.
*/
export class RolloutError extends TypedError<'no-fencing' | 'engine' | 'unconfirmed' | 'manifest' | 'store'> {}
