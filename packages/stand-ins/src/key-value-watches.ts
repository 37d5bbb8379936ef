/** Watches of the key-value stand-in, which are long polls. */
import {delay} from '@yuccawood/common';
import type {KeyValueEntry} from '@yuccawood/interfaces';
import {disconnectSignal, sendSuccess, type Call} from './stand-in.js';

type Watch = {readonly recheck: () => void; readonly disconnect: () => void};

export class KeyValueWatches {
	readonly #read: (key: string) => KeyValueEntry | undefined;
	readonly #watches = new Map<string, Set<Watch>>();

	constructor({read}: {readonly read: (key: string) => KeyValueEntry | undefined}) {
		this.#read = read;
	}

	/** Answers as soon as the key has a version above `afterVersion`, or with no entry after `waitMs`. */
	async answer(key: string, {response, url}: Call): Promise<void> {
		const afterVersion = Number(url.searchParams.get('afterVersion'));
		const endsAt = performance.now() + Number(url.searchParams.get('waitMs'));
		const disconnected = disconnectSignal(response);
		while (!disconnected.aborted) {
			const entry = this.#read(key);
			if (entry && entry.version > afterVersion) {
				sendSuccess(response, entry);
				return;
			}

			const remainingMs = endsAt - performance.now();
			if (remainingMs <= 0) {
				sendSuccess(response);
				return;
			}

			await this.#waitForWrite(key, remainingMs, response, disconnected);
		}
	}

	/** Makes the watches of the key read it again. Called after each write. */
	notify(key: string): void {
		for (const watch of this.#watches.get(key) ?? []) {
			watch.recheck();
		}
	}

	/** Closes the connections of all pending watches. */
	disconnectAll(): void {
		for (const watch of [...this.#watches.values()].flatMap(watches => [...watches])) {
			watch.disconnect();
		}
	}

	async #waitForWrite(key: string, limitMs: number, response: Call['response'], disconnected: AbortSignal): Promise<void> {
		const waiting = new AbortController();
		const recheck = (): void => {
			waiting.abort();
		};

		const disconnect = (): void => {
			response.destroy();
			waiting.abort();
		};

		const watch = {recheck, disconnect};
		const watches = this.#watches.get(key) ?? new Set<Watch>();
		this.#watches.set(key, watches.add(watch));
		disconnected.addEventListener('abort', recheck, {once: true});
		await delay(limitMs, waiting.signal);
		disconnected.removeEventListener('abort', recheck);
		watches.delete(watch);
	}
}
