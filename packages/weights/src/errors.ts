import {TypedError} from '@yuccawood/common';

/**
A manifest is invalid.

- `hash-mismatch`: the bytes do not have the expected hash, for example because they were truncated.
- `malformed`: the bytes are not a JSON object.
- `invalid-field`: a field is missing, unknown or has an invalid value.
- `wrong-version`: the manifest describes another version than the target version of the configuration.
*/
export class ManifestError extends TypedError<'hash-mismatch' | 'malformed' | 'invalid-field' | 'wrong-version'> {}

/**
A chunk is invalid or cannot be stored.

- `corrupt`: the bytes do not have the expected hash.
- `wrong-size`: the chunk does not have the size given by its manifest.
- `store-full`: the chunks of the version do not fit into the store.
*/
export class ChunkError extends TypedError<'corrupt' | 'wrong-size' | 'store-full'> {}

/**
A step of a rollout failed. It is retried unless the version was replaced.

- `no-fencing`: the agent has no current fencing number.
- `engine`: the engine failed or refused a command.
- `unconfirmed`: the engine computed another manifest hash than that of the version it was to load.
- `manifest`: no source returned a valid manifest.
- `store`: the version does not fit into the chunk store.
*/
export class RolloutError extends TypedError<'no-fencing' | 'engine' | 'unconfirmed' | 'manifest' | 'store'> {}
