/** Fixtures of the tests of this package: a valid document, and an in-memory key-value service with fault injection. */
import {Err, Ok} from '@yuccawood/common';
import {
	PlatformError, type KeyValueEntry, type KeyValueService, type Lease, type Outcome, type PlatformErrorKind, type WriteCondition,
} from '@yuccawood/interfaces';
import type {Edit} from './types.js';

export const hash = (digit: string): string => `sha256:${digit.repeat(64)}`;

export const DOCUMENT = `[owners]
model.* = models
adapter.* = models
route.* = routing
account.* = accounts
vm.* = platform
rollout = models

[model.kit-assistant]
version = v1
manifest = ${hash('a')}

[route.chat]
path = /v1/chat/completions
kind = model
models = kit-assistant

[account.matara]
key = ${hash('b')}
requests_per_second = 50
concurrent = 20
`;

export const rolloutEdit = (edit: Partial<Edit> = {}): Edit => ({
	editId: 'edit-1', author: 'ann', team: 'models', section: 'rollout', baseRevision: 0, text: 'balance = 0.7', ...edit,
});

/**
Injected fault of one write.

- `lost-after`: the write takes effect, but its response is lost.
- `lost-before`: the write is lost before it takes effect.
- `lost-late`: the response is lost, and the write takes effect 30 ms later.
- `unavailable`, `rate-limited`: the write is rejected with this error.
*/
export type WriteFault = 'lost-after' | 'lost-before' | 'lost-late' | 'unavailable' | 'rate-limited';

const failure = (kind: PlatformErrorKind) => Err(new PlatformError({kind, detail: `Injected ${kind}.`, remedy: 'Try again.'}));

/** In-memory key-value service. Reads and writes yield to the event loop first, so that calls of several writers interleave. */
export class MemoryKeyValue implements KeyValueService {
	readonly entries = new Map<string, KeyValueEntry>();
	calls = 0;
	isDown = false;

	/** Faults of the next writes, in order; `undefined` lets a write succeed. */
	writeFaults: Array<WriteFault | undefined> = [];
	readonly #pendingWatches = new Set<() => void>();

	/** Called before each write, for example to inject a competing one. */
	beforeWrite: (key: string) => Promise<void> = async () => undefined;

	readonly read = async (key: string): Outcome<KeyValueEntry | undefined> => {
		this.calls++;
		await new Promise(setImmediate);
		return this.isDown ? failure('unavailable') : Ok(this.entries.get(key));
	};

	readonly write = async (key: string, value: string, condition: WriteCondition = {}): Outcome<number> => {
		this.calls++;
		await new Promise(setImmediate);
		await this.beforeWrite(key);
		const fault = this.isDown ? 'unavailable' : this.writeFaults.shift();
		switch (fault) {
			case undefined: {
				return this.#store(key, value, condition);
			}

			case 'lost-after': {
				await this.#store(key, value, condition);
				return failure('unknown-outcome');
			}

			case 'lost-late': {
				setTimeout(() => {
					void this.#store(key, value, condition);
				}, 30);
				return failure('unknown-outcome');
			}

			case 'lost-before': {
				return failure('unknown-outcome');
			}

			case 'unavailable':
			case 'rate-limited': {
				return failure(fault);
			}
		}
	};

	readonly watch = async (key: string, afterVersion: number, timeoutMs: number, signal?: AbortSignal): Outcome<KeyValueEntry | undefined> => {
		this.calls++;
		const isNewer = (): boolean => (this.entries.get(key)?.version ?? 0) > afterVersion;
		if (!this.isDown && !isNewer()) {
			await new Promise<void>(resolve => {
				const finish = (): void => {
					clearTimeout(timer);
					this.#pendingWatches.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, timeoutMs);
				this.#pendingWatches.add(finish);
				signal?.addEventListener('abort', finish, {once: true});
			});
		}

		return this.isDown ? failure('unavailable') : Ok(isNewer() ? this.entries.get(key) : undefined);
	};

	readonly remove = async (): Outcome<void> => failure('rejected');
	readonly list = async (): Outcome<readonly KeyValueEntry[]> => failure('rejected');
	readonly grantLease = async (): Outcome<Lease> => failure('rejected');
	readonly renewLease = async (): Outcome<number> => failure('rejected');
	readonly revokeLease = async (): Outcome<void> => failure('rejected');

	/** Makes all pending watches return, as a change of a key or an outage does. */
	endWatches(): void {
		for (const finish of this.#pendingWatches) {
			finish();
		}
	}

	readonly #store = async (key: string, value: string, {expectedVersion}: WriteCondition): Outcome<number> => {
		const version = this.entries.get(key)?.version ?? 0;
		if (expectedVersion !== undefined && expectedVersion !== version) {
			return failure('conflict');
		}

		this.entries.set(key, {key, value, version: version + 1});
		this.endWatches();
		return Ok(version + 1);
	};
}
