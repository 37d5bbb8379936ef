/** Read access to the platform's store. */
import type {Result} from '@yuccawood/common';
import type {PlatformError} from '@yuccawood/interfaces';

/** An item of the platform's store. Only the platform's adapter knows the format of keys and values. */
export type StoreItem = {
	readonly key: string;

	/** Undefined when the item was removed. */
	readonly value: string | undefined;

	/** Store revision of the last change. */
	readonly revision: number;
};

export type StoreSnapshot = {
	readonly items: readonly StoreItem[];

	/** Store revision after which a watch continues. */
	readonly revision: number;
	readonly transfer: AnswerTransfer;
};

/** Size and transfer time of a response of the store. */
export type AnswerTransfer = {
	readonly bytes: number;

	/** Time from its first to its last byte. */
	readonly milliseconds: number;
};

export type StoreOutcome<Value> = Promise<Result<Value, PlatformError>>;

export type WatchOptions = {
	readonly afterRevision: number;

	/** Longest wait for a change, in milliseconds. */
	readonly waitMs: number;

	/** Time limit between two chunks of the response, in milliseconds. */
	readonly idleTimeoutMs?: number;

	/** Called when the response begins to arrive, and as it goes on. */
	readonly onProgress?: () => void;
	readonly signal: AbortSignal;
};

export type SnapshotOptions = {
	/** Time limit for the first byte and between chunks of the response, in milliseconds. */
	readonly timeoutMs?: number;

	/** Called when the response begins to arrive, and as it goes on. */
	readonly onProgress?: () => void;
	readonly signal?: AbortSignal;
};

export type CheckOptions = {
	/** Asks for the newest revision under this prefix by a cheap read that may be seconds old. Without it, for the current revision of the whole store. */
	readonly prefix?: string;

	/** Time limit in milliseconds. */
	readonly timeoutMs: number;
};

export type StoreCheckAnswer = {
	readonly revision: number;

	/** Whether a new connection was opened for the call. */
	readonly isNewConnection: boolean;
};

/** A key range of the store with its own watch, so that bulky parts do not delay urgent ones. */
export type StorePart = {
	/** Name in logs and metrics. */
	readonly name: string;
	readonly prefix: string;

	/** Whether values are large and only the newest one matters, so that intermediate ones may be skipped. */
	readonly isBulky: boolean;

	/** Whether each value of a key is applied, also when one response contains several. Otherwise only the newest one is. */
	readonly needsEachValue?: boolean;
};

/** What a process already knows of a part. Sent to a peer to ask for the missing items. */
export type PartState = {
	readonly prefix: string;

	/** Store revision up to which all changes are known. */
	readonly revision: number;

	/** Revisions of known items that are newer than `revision`, by key. */
	readonly later: Readonly<Record<string, number>>;
};

export interface ItemSource {
	/** Reads all items under the prefix. */
	readonly snapshot: (prefix: string, options?: SnapshotOptions) => StoreOutcome<StoreSnapshot>;

	/** Waits for changes after the revision. Fails with the error kind `history-lost` when the store no longer keeps them. */
	readonly watch: (prefix: string, options: WatchOptions) => StoreOutcome<StoreSnapshot>;

	/** Returns the current revision of the store. */
	readonly revision: () => StoreOutcome<number>;

	/** Asks for the revision on a connection that only checks use. The check after a failed one uses a new connection. */
	readonly check: (options: CheckOptions) => StoreOutcome<StoreCheckAnswer>;

	/**
	Number of times that the store had gone back to a copy of itself when it gave out a revision. Revisions of a later era are
	higher than all earlier ones. Absent if that never happens.
	*/
	readonly eraOf?: (revision: number) => number;

	/** Makes all later calls on new connections. Calls in progress go on. */
	readonly renewConnections: () => void;
}

