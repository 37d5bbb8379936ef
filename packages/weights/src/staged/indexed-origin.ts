/** Reads chunks by hash from an origin that addresses them as pieces, by version and index. */
import {Err} from '@yuccawood/common';
import {PlatformError, type Outcome, type WeightOrigin} from '@yuccawood/interfaces';
import type {StagedManifest} from './staged-manifest.js';
import type {VersionedOrigin} from './types.js';

/** Address of a piece at the origin. */
type PieceLocation = {readonly model: string; readonly version: number; readonly index: number};

/** Number of versions before the newest one whose chunks can still be read. */
const KEPT_OLDER_VERSIONS = 2;

export class IndexedOrigin implements WeightOrigin {
	readonly #origin: () => VersionedOrigin | undefined;
	readonly #locations = new Map<string, PieceLocation>();
	readonly #readCounts = new Map<number, number>();

	constructor({origin}: {
		/** The origin of the current configuration; undefined when none is configured. */
		readonly origin: () => VersionedOrigin | undefined;
	}) {
		this.#origin = origin;
	}

	/** Makes the chunks of a version readable by hash, and removes those of versions that are too old to be read. */
	register({manifest, model, version}: StagedManifest): void {
		for (const [hash, location] of this.#locations) {
			if (location.version < version - KEPT_OLDER_VERSIONS) {
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

	/** Number of reads of chunks of a version that this member sent to the origin. */
	readonly readCount = (version: number): number => this.#readCounts.get(version) ?? 0;

	readonly manifest = async (hash: string): Outcome<Uint8Array> => Err(new PlatformError({
		kind: 'not-found', detail: `The origin has no manifests by hash (${hash}).`, remedy: 'Read the digests of the version instead.',
	}));

	readonly chunk = async (hash: string, signal?: AbortSignal): Outcome<Uint8Array> => {
		const location = this.#locations.get(hash);
		const origin = this.#origin();
		if (location && origin) {
			this.#readCounts.set(location.version, this.readCount(location.version) + 1);
		}

		return location && origin
			? origin.piece(location.model, location.version, location.index, signal)
			: Err(new PlatformError({
				kind: 'unavailable',
				detail: `Chunk ${hash} cannot be read: no origin is configured or the chunk belongs to no known version.`,
				remedy: 'The read is retried; check the origin in the configuration.',
			}));
	};
}
