import {Publisher} from '@yuccawood/common';
import type {Manifest} from './manifest.js';

/** A manifest whose hash and fields have been checked. */
export type KnownManifest = {
	readonly hash: string;
	readonly manifest: Manifest;

	/** The encoded manifest whose SHA-256 is `hash`, as it is sent to peers. */
	readonly bytes: Uint8Array;
};

/** Manifests that this process has checked, by hash. */
export class ManifestLibrary {
	readonly #manifests = new Map<string, KnownManifest>();
	readonly #added = new Publisher<KnownManifest>();

	add(known: KnownManifest): void {
		this.#manifests.set(known.hash, known);
		this.#added.publish(known);
	}

	remove(hash: string): void {
		this.#manifests.delete(hash);
	}

	get(hash: string): KnownManifest | undefined {
		return this.#manifests.get(hash);
	}

	/** Waits for a manifest. Resolves with `undefined` when the time runs out or the signal aborts. */
	async waitFor(hash: string, milliseconds: number, signal: AbortSignal): Promise<KnownManifest | undefined> {
		const known = this.get(hash);
		if (known) {
			return known;
		}

		return new Promise(resolve => {
			const settle = (found?: KnownManifest): void => {
				clearTimeout(timer);
				unsubscribe();
				resolve(found);
			};

			const timer = setTimeout(settle, milliseconds);
			const unsubscribe = this.#added.subscribe(found => {
				if (found.hash === hash) {
					settle(found);
				}
			});
			signal.addEventListener('abort', () => {
				settle();
			}, {once: true});
		});
	}
}
