import {Publisher} from '@yuccawood/common';
import type {Manifest} from './manifest.js';

/** A manifest whose hash and fields have been checked. */
export type VerifiedManifest = {
	readonly hash: string;
	readonly manifest: Manifest;

	/** The encoded manifest whose SHA-256 is `hash`, as it is sent to peers. */
	readonly bytes: Uint8Array;
};

/** Manifests that this process has checked, by hash. */
export class ManifestLibrary {
	readonly #manifests = new Map<string, VerifiedManifest>();
	readonly #added = new Publisher<VerifiedManifest>();

	add(verified: VerifiedManifest): void {
		this.#manifests.set(verified.hash, verified);
		this.#added.publish(verified);
	}

	remove(hash: string): void {
		this.#manifests.delete(hash);
	}

	get(hash: string): VerifiedManifest | undefined {
		return this.#manifests.get(hash);
	}

	/** Waits for a manifest. Resolves with `undefined` when the time runs out or the signal aborts. */
	async waitFor(hash: string, milliseconds: number, signal: AbortSignal): Promise<VerifiedManifest | undefined> {
		const verified = this.get(hash);
		if (verified) {
			return verified;
		}

		return new Promise(resolve => {
			const settle = (found?: VerifiedManifest): void => {
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
