import {TypedError} from '@yuccawood/common';

/**
Failure of a call to the platform.

- `unavailable`: the call had no effect.
- `unknown-outcome`: the answer was lost; the call may have had its effect.
- `conflict`: the condition of a write did not hold.
- `rate-limited`: the call was refused by a rate limit and had no effect.
- `too-large`: the value exceeds the limit of the service.
- `lease-expired`: the lease has ended.
- `not-found`: the object does not exist.
- `stale-fencing`: the order carried an old fencing number and had no effect.
- `history-lost`: the changes asked for are no longer kept.
- `rejected`: the platform refused the call for a reason of its own.
*/
export type PlatformErrorKind =
	'unavailable' | 'unknown-outcome' | 'conflict' | 'rate-limited' | 'too-large' | 'lease-expired' | 'not-found' | 'stale-fencing' | 'history-lost' | 'rejected';

export class PlatformError extends TypedError<PlatformErrorKind> {
	/** With `conflict`: the version that the key has, 0 if it does not exist. */
	readonly currentVersion: number | undefined;

	constructor({currentVersion, ...rest}: {
		readonly kind: PlatformErrorKind;
		readonly detail: string;
		readonly remedy: string;
		readonly cause?: unknown;
		readonly currentVersion?: number;
	}) {
		super(rest);
		this.currentVersion = currentVersion;
	}
}
