import {TypedError} from './errors.js';

/**
Failure of a call to a peer.

- `unreachable`: no connection was made, so the call was not run.
- `no-answer`: the connection broke or the time ran out; the call may have run.
- `refused`: the peer answered with an error.
*/
export class RpcError extends TypedError<'unreachable' | 'no-answer' | 'refused'> {}
