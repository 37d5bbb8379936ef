import {TypedError} from '@yuccawood/common';

/**
Why no order may be sent to the upstream.

- `not-held`: the lease was not obtained yet, or was lost.
- `expired`: the lease ran out on the monotonic clock and was not renewed.
- `lock-taken`: another agent on this VM holds the order lock.
- `lock-missing`: the settings need an order lock and none was given.
*/
export class LeaseError extends TypedError<'not-held' | 'expired' | 'lock-taken' | 'lock-missing'> {}
