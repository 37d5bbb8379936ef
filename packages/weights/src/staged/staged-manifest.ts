/** Manifest of a version that the origin describes by the digests of its pieces. */
import {createHash} from 'node:crypto';
import {encodeManifest, type Manifest} from '../manifest.js';
import type {VersionDigests} from './types.js';

export type StagedManifest = {
	readonly hash: string;
	readonly manifest: Manifest;

	/** Model and version as the platform numbers them. */
	readonly model: string;
	readonly version: number;
};

const DIGEST_PATTERN = /^[\da-f]{64}$/;

/** @returns nothing when a digest is malformed, as after a corrupt answer. */
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
