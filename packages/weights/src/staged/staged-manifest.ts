/** Builds the manifest of a version from the digests of its pieces, since the origin has no manifests. */
import {createHash} from 'node:crypto';
import {encodeManifest, type Manifest} from '../manifest.js';
import type {VersionDigests} from './types.js';

export type StagedManifest = {
	/** SHA-256 of the encoded manifest in hexadecimal. */
	readonly hash: string;
	readonly manifest: Manifest;

	/** Model and version by which the origin and the engine address the pieces. */
	readonly model: string;
	readonly version: number;
};

const DIGEST_PATTERN = /^[\da-f]{64}$/;

/** @returns undefined when the digests are malformed, as in a corrupt answer */
export const toStagedManifest = ({model, version, pieceBytes, digests}: VersionDigests): StagedManifest | undefined => {
	const isWellFormed = digests.length > 0 && pieceBytes > 0 && digests.every(digest => DIGEST_PATTERN.test(digest));
	if (!isWellFormed) {
		return undefined;
	}

	const manifest: Manifest = {
		name: model, version: String(version), kind: 'model', sizeBytes: digests.length * pieceBytes, chunkBytes: pieceBytes, chunks: digests,
	};
	return {
		hash: createHash('sha256').update(encodeManifest(manifest)).digest('hex'), manifest, model, version,
	};
};
