/** Writes the pieces of a version into the staging area of the engine, reads them back and repairs corrupt ones. */
import {createHash} from 'node:crypto';
import type {Log, Metrics} from '@yuccawood/common';
import type {ChunkStore} from '../chunk-store.js';
import {verifyChunk} from '../verified-chunk.js';
import type {StagedManifest} from './staged-manifest.js';
import type {StagedEngine} from './types.js';

export type StagingAreaOptions = {
	readonly engine: StagedEngine;
	readonly store: ChunkStore;
	readonly log: Log;
	readonly metrics: Metrics;
};

/**
`whole` when all pieces were right, `repaired` when some of them were rewritten, and `incomplete` when a piece could
not be read or written or the signal aborted. `repaired` is the number of rewritten pieces.
*/
export type VerificationResult = {readonly kind: 'whole' | 'repaired' | 'incomplete'; readonly repaired: number};

export class StagingArea {
	readonly #options: StagingAreaOptions;

	constructor(options: StagingAreaOptions) {
		this.#options = options;
	}

	/**
	Copies pieces of the version that are in the staging area already into the chunk store, as after a restart of the agent.
	@returns the number of copied pieces
	*/
	async importStagedPieces({manifest, model}: StagedManifest, signal: AbortSignal): Promise<number> {
		const {engine, store} = this.#options;
		let adopted = 0;
		for (const [index, hash] of manifest.chunks.entries()) {
			if (signal.aborted) {
				return adopted;
			}

			if (store.has(hash)) {
				continue;
			}

			const piece = await engine.readPiece(model, index);
			if (piece.err) {
				return adopted;
			}

			const verified = piece.val && await verifyChunk(hash, manifest.chunkBytes, piece.val);
			if (verified?.ok) {
				store.put(verified.val);
				adopted++;
			}
		}

		return adopted;
	}

	/** Reads every piece back and rewrites those that differ. Only `whole` means that all pieces were right when read. */
	async verify({manifest, model, version}: StagedManifest, signal: AbortSignal): Promise<VerificationResult> {
		const {engine, store, log, metrics} = this.#options;
		let repaired = 0;
		for (const [index, hash] of manifest.chunks.entries()) {
			const piece = await engine.readPiece(model, index);
			if (piece.err || signal.aborted) {
				return {kind: 'incomplete', repaired};
			}

			if (piece.val && createHash('sha256').update(piece.val).digest('hex') === hash) {
				continue;
			}

			const chunk = store.get(hash);
			const written = chunk && await engine.putPiece(model, index, chunk.data);
			if (!written?.ok) {
				return {kind: 'incomplete', repaired};
			}

			repaired++;
		}

		if (repaired > 0) {
			metrics.count('weights.repaired_pieces', {}, repaired);
			// All pieces differ when the staging area holds another version; a few differ when they were corrupted in it.
			log.info('Wrote staged pieces that differed from their digests.', {
				model, version, pieces: repaired, of: manifest.chunks.length,
			});
		}

		return {kind: repaired === 0 ? 'whole' : 'repaired', repaired};
	}
}
