/** Reads chunks by hash from an origin that names them by version and index. */
import {Err} from '@yuccawood/common';
import {PlatformError, type Outcome, type WeightOrigin} from '@yuccawood/interfaces';
import type {StagedManifest} from './staged-manifest.js';
import type {VersionedOrigin} from './types.js';

type PieceLocation = {readonly model: string; readonly version: number; readonly index: number};

/** Versions before the newest one whose chunks may still be asked for. */
const KEPT_OLDER_VERSIONS = 2;

export class IndexedOrigin implements WeightOrigin {
	readonly #origin: () => VersionedOrigin | undefined;
	readonly #locations = new Map<string, PieceLocation>();
	readonly #readCounts = new Map<number, number>();

	constructor({origin}: {
		/** The origin that the configuration names now. */
		readonly origin: () => VersionedOrigin | undefined;
	}) {
		this.#origin = origin;
	}

	/** Makes the chunks of a version readable, and forgets those of versions that the origin no longer has. */
	register({manifest, model, version}: StagedManifest): void {
		for (const [hash, place] of this.#locations) {
			if (place.version < version - KEPT_OLDER_VERSIONS) {
				this.#locations.delete(hash);
			}
		}

		for (const known of this.#readCounts.keys()) {
			if (known < version - KEPT_OLDER_VERSIONS) {
				this.#readCounts.delete(known);
			}
		}

		for (const [index, hash] of manifest.chunks.entries()) {
			this.#locations.set(hash, {model, version, index});
		}
	}

	/** Chunks of a version that this member asked the origin for. */
	readonly readCount = (version: number): number => this.#readCounts.get(version) ?? 0;

	readonly manifest = async (hash: string): Outcome<Uint8Array> => Err(new PlatformError({
		kind: 'not-found', detail: `The origin does not name manifests by hash (${hash}).`, remedy: 'Read the digests of the version.',
	}));

	readonly chunk = async (hash: string, signal?: AbortSignal): Outcome<Uint8Array> => {
		const place = this.#locations.get(hash);
		const origin = this.#origin();
		if (place && origin) {
			this.#readCounts.set(place.version, this.readCount(place.version) + 1);
		}

		return place && origin
			? origin.piece(place.model, place.version, place.index, signal)
			: Err(new PlatformError({kind: 'unavailable', detail: `No origin is known for chunk ${hash}.`, remedy: 'It is asked again.'}));
	};
}
