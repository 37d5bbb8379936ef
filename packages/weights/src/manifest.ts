/** The manifest of a version is a JSON object, addressed by the SHA-256 of its bytes. */
import {
	Err, Ok, sha256, type Result,
} from '@yuccawood/common';
import {MAX_CHUNK_BYTES} from './constants.js';
import {ManifestError} from './errors.js';

export type Manifest = {
	readonly name: string;
	readonly version: string;
	readonly kind: 'model' | 'adapter';

	/** Name of the model that an adapter extends; absent for a model. */
	readonly base?: string;

	/** Size of the whole version. */
	readonly sizeBytes: number;

	/** Size of each chunk except the last one, which may be shorter. */
	readonly chunkBytes: number;

	/** SHA-256 of each chunk, in the order of the weights. */
	readonly chunks: readonly string[];
};

/** The version that a manifest describes. */
export type ManifestSubject = Pick<Manifest, 'name' | 'version' | 'kind'>;

const HASH_PATTERN = /^[\da-f]{64}$/;
const FIELDS: ReadonlySet<string> = new Set(['name', 'version', 'kind', 'base', 'sizeBytes', 'chunkBytes', 'chunks']);

const isPositive = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) > 0;
const isText = (value: unknown): value is string => typeof value === 'string' && value !== '';

/** @returns the first invalid field of a manifest and how to correct it, or `undefined` if all fields are valid. */
const findFieldFault = (fields: Readonly<Record<string, unknown>>): {readonly field: string; readonly remedy: string} | undefined => {
	const unknown = Object.keys(fields).find(field => !FIELDS.has(field));
	const {name, version, kind, base, sizeBytes, chunkBytes, chunks} = fields;
	const rules: ReadonlyArray<readonly [boolean, string, string]> = [
		[unknown === undefined, unknown ?? '', 'Remove the field, or update the agents.'],
		[isText(name), 'name', 'Give a non-empty text.'],
		[isText(version), 'version', 'Give a non-empty text.'],
		[kind === 'model' || kind === 'adapter', 'kind', 'Give "model" or "adapter".'],
		[kind === 'adapter' ? isText(base) : base === undefined, 'base', 'Give the base model of an adapter, and none for a model.'],
		[isPositive(sizeBytes), 'sizeBytes', 'Give a whole number above 0.'],
		[isPositive(chunkBytes) && chunkBytes <= MAX_CHUNK_BYTES, 'chunkBytes', `Give a whole number from 1 to ${MAX_CHUNK_BYTES}.`],
		[Array.isArray(chunks) && chunks.every(chunk => typeof chunk === 'string' && HASH_PATTERN.test(chunk)), 'chunks', 'Give a list of SHA-256 hashes of 64 hexadecimal digits.'],
	];
	const brokenRule = rules.find(([holds]) => !holds);
	if (brokenRule) {
		return {field: brokenRule[1], remedy: brokenRule[2]};
	}

	const expected = Math.ceil((sizeBytes as number) / (chunkBytes as number));
	return (chunks as readonly string[]).length === expected
		? undefined
		: {field: 'chunks', remedy: `Give ${expected} chunks, as sizeBytes and chunkBytes require.`};
};

/** Checks the bytes of a manifest against its hash and parses them. */
export const parseManifest = (bytes: Uint8Array, hash: string): Result<Manifest, ManifestError> => {
	const found = sha256(bytes);
	if (found !== hash) {
		return Err(new ManifestError({
			kind: 'hash-mismatch',
			detail: `Manifest sha256:${hash} has ${bytes.byteLength} bytes with the hash ${found}.`,
			remedy: 'Upload the manifest again, or correct the hash in the configuration.',
		}));
	}

	let fields: unknown;
	try {
		fields = JSON.parse(new TextDecoder('utf8', {fatal: true}).decode(bytes));
	} catch (error) {
		return Err(new ManifestError({
			kind: 'malformed', detail: `Manifest sha256:${hash} is not JSON.`, remedy: 'Create the manifest again.', cause: error,
		}));
	}

	if (typeof fields !== 'object' || fields === null || Array.isArray(fields)) {
		return Err(new ManifestError({kind: 'malformed', detail: `Manifest sha256:${hash} is not a JSON object.`, remedy: 'Create the manifest again.'}));
	}

	const fault = findFieldFault(fields as Readonly<Record<string, unknown>>);
	return fault
		? Err(new ManifestError({kind: 'invalid-field', detail: `Manifest sha256:${hash} has an invalid field "${fault.field}".`, remedy: fault.remedy}))
		: Ok(fields as Manifest);
};

/** Checks that a manifest describes the target version of the configuration. */
export const checkSubject = (manifest: Manifest, {name, version, kind}: ManifestSubject): Result<Manifest, ManifestError> =>
	manifest.name === name && manifest.version === version && manifest.kind === kind
		? Ok(manifest)
		: Err(new ManifestError({
			kind: 'wrong-version',
			detail: `The configuration names ${kind} ${name} ${version}, but its manifest describes ${manifest.kind} ${manifest.name} ${manifest.version}.`,
			remedy: 'Correct the version or the manifest hash in the configuration.',
		}));

/** Size of the chunk at an index, in bytes. */
export const chunkSize = ({sizeBytes, chunkBytes, chunks}: Manifest, index: number): number =>
	index === chunks.length - 1 ? sizeBytes - (chunkBytes * index) : chunkBytes;

/** Encodes a manifest as the bytes that are stored and hashed. */
export const encodeManifest = (manifest: Manifest): Uint8Array => new TextEncoder().encode(JSON.stringify(manifest));
