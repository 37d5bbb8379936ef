/** Pieces staged beside the engine: writes them, reads them back and repairs what does not verify. */
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

/** `incomplete`: a piece could not be written or read. */
export type VerificationResult = {readonly kind: 'whole' | 'repaired' | 'incomplete'; readonly repaired: number};

export class StagingArea {
	readonly #options: StagingAreaOptions;

	constructor(options: StagingAreaOptions) {
		this.#options = options;
	}

	/** Takes pieces of the version that lie beside the engine already into the chunk store. @returns how many */
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

	/** Reads every piece back and writes those again that differ. Only `whole` means that all were right when read. */
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
			// All pieces differ while the stage still holds another version; a few have rotted.
			log.info('Staged pieces that differed are written.', {
				model, version, pieces: repaired, of: manifest.chunks.length,
			});
		}

		return {kind: repaired === 0 ? 'whole' : 'repaired', repaired};
	}
}
