/** Generates weights from a seed: the same options give the same bytes. */
import {Buffer} from 'node:buffer';
import {createCipheriv, createHash} from 'node:crypto';
import {sha256} from '@yuccawood/common';

export type WeightsOptions = {
	readonly seed: string | number;
	readonly name: string;
	readonly version: string;
	readonly kind?: 'model' | 'adapter';
	readonly sizeBytes: number;
	readonly chunkBytes: number;

	/** For an adapter, the name of the model it extends. */
	readonly base?: string;

	/** Number of leading chunks that all versions of the name share. They depend on the seed, the name and their index, but not on the version. */
	readonly sharedChunks?: number;
};

export type GeneratedWeights = {
	/** JSON text of the manifest. */
	readonly manifest: Uint8Array;

	/** SHA-256 of the manifest. */
	readonly hash: string;
	readonly chunks: ReadonlyArray<{readonly hash: string; readonly data: Uint8Array}>;
};

/** Fields of a manifest. `chunks` are the SHA-256 hashes of the chunks in order. */
export type ManifestFields = {
	readonly name: string;
	readonly version: string;
	readonly kind: 'model' | 'adapter';
	readonly base?: string;
	readonly sizeBytes: number;
	readonly chunkBytes: number;
	readonly chunks: readonly string[];
};

/** JSON text of a manifest. The order of the fields is part of the format, because the text is hashed. */
export const manifestText = ({name, version, kind, base, sizeBytes, chunkBytes, chunks}: ManifestFields): string => JSON.stringify({
	name, version, kind, ...(base !== undefined && {base}), sizeBytes, chunkBytes, chunks,
});

/** Generates the manifest and the chunks of a version. */
export const createWeights = ({
	seed, name, version, kind = 'model', sizeBytes, chunkBytes, base, sharedChunks = 0,
}: WeightsOptions): GeneratedWeights => {
	const usedChunkBytes = Math.min(chunkBytes, sizeBytes);
	const count = Math.ceil(sizeBytes / usedChunkBytes);
	const chunks = Array.from({length: count}, (_, index) => {
		const size = Math.min(usedChunkBytes, sizeBytes - (index * usedChunkBytes));
		const source = index < sharedChunks ? 'shared' : version;
		const data = pseudoRandomBytes(JSON.stringify([seed, name, source, index]), size);
		return {hash: sha256(data), data};
	});
	const manifest = new TextEncoder().encode(manifestText({
		name, version, kind, base, sizeBytes, chunkBytes: usedChunkBytes, chunks: chunks.map(({hash}) => hash),
	}));
	return {manifest, hash: sha256(manifest), chunks};
};

const pseudoRandomBytes = (key: string, size: number): Uint8Array =>
	createCipheriv('aes-256-ctr', createHash('sha256').update(key).digest(), Buffer.alloc(16)).update(Buffer.alloc(size));
