import {Publisher} from '@yuccawood/common';
import type {Manifest} from './manifest.js';

export type KnownManifest = {
	readonly hash: string;
	readonly manifest: Manifest;

	/** The manifest as it was hashed, for peers. */
	readonly bytes: Uint8Array;
};

/** Checked manifests that this process knows. */
export class ManifestLibrary {
	readonly #known = new Map<string, KnownManifest>();
	readonly #added = new Publisher<KnownManifest>();

	add(known: KnownManifest): void {
		this.#known.set(known.hash, known);
		this.#added.publish(known);
	}

	remove(hash: string): void {
		this.#known.delete(hash);
	}

	get(hash: string): KnownManifest | undefined {
		return this.#known.get(hash);
	}

	/** Waits for a manifest. Resolves with nothing when the time runs out or the signal aborts. */
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
