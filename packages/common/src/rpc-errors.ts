import {TypedError} from './errors.js';

/**
Failure of a JSON-RPC call to a peer.

- `unreachable`: no connection was made, so the peer did not run the call.
- `no-answer`: the connection broke, the call timed out, or the response was not JSON; the peer may have run the call.
- `refused`: the peer responded with an error.
*/
export class RpcError extends TypedError<'unreachable' | 'no-answer' | 'refused'> {}
