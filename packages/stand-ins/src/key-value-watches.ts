/** Long polls of the key-value stand-in. */
import {delay} from '@yuccawood/common';
import type {KeyValueEntry} from '@yuccawood/interfaces';
import {disconnected, succeed, type Call} from './stand-in.js';

type Watch = {readonly wake: () => void; readonly cut: () => void};

export class KeyValueWatches {
	readonly #read: (key: string) => KeyValueEntry | undefined;
	readonly #watches = new Map<string, Set<Watch>>();

	constructor({read}: {readonly read: (key: string) => KeyValueEntry | undefined}) {
		this.#read = read;
	}

	/** Answers when the key has a version above the one named in the call, or with nothing when the time runs out. */
	async answer(key: string, {response, url}: Call): Promise<void> {
		const afterVersion = Number(url.searchParams.get('afterVersion'));
		const endsAt = performance.now() + Number(url.searchParams.get('waitMs'));
		const gone = disconnected(response);
		while (!gone.aborted) {
			const entry = this.#read(key);
			if (entry && entry.version > afterVersion) {
				succeed(response, entry);
				return;
			}

			const remainingMs = endsAt - performance.now();
			if (remainingMs <= 0) {
				succeed(response);
				return;
			}

			await this.#nextWrite(key, remainingMs, response, gone);
		}
	}

	wake(key: string): void {
		for (const watch of this.#watches.get(key) ?? []) {
			watch.wake();
		}
	}

	/** Breaks the connections of all pending watches. */
	cutAll(): void {
		for (const watch of [...this.#watches.values()].flatMap(watches => [...watches])) {
			watch.cut();
		}
	}

	async #nextWrite(key: string, limitMs: number, response: Call['response'], gone: AbortSignal): Promise<void> {
		const woken = new AbortController();
		const wake = (): void => {
			woken.abort();
		};

		const cut = (): void => {
			response.destroy();
			woken.abort();
		};

		const watch = {wake, cut};
		const watches = this.#watches.get(key) ?? new Set<Watch>();
		this.#watches.set(key, watches.add(watch));
		gone.addEventListener('abort', wake, {once: true});
		await delay(limitMs, woken.signal);
		gone.removeEventListener('abort', wake);
		watches.delete(watch);
	}
}
