import {TypedError} from '@yuccawood/common';

/**
The reason why no order may be sent to the upstream.

- `not-held`: the lease has not been obtained yet, or was lost or released.
- `expired`: the lease has expired, or expires within the order margin, on the monotonic clock.
- `lock-taken`: the order lock is not held, usually because another agent on this VM holds it.
- `lock-missing`: the engine ignores fencing numbers, and no order lock was given.
*/
export class LeaseError extends TypedError<'not-held' | 'expired' | 'lock-taken' | 'lock-missing'> {}
