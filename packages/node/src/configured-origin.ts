/** Client of the origin in the directory of engines. Reconnects when the origin's address changes. */
import type {Outcome} from '@yuccawood/interfaces';
import {VersionedOriginClient} from '@yuccawood/platform';
import type {VersionDigests, VersionedOrigin} from '@yuccawood/weights';
import {ORIGIN_CONNECTIONS, ORIGIN_TIMEOUT_MS} from './constants.js';
import type {EngineDirectoryReader} from './engine-directory-reader.js';

export class ConfiguredOrigin implements VersionedOrigin {
	readonly #reader: EngineDirectoryReader;
	#address: string | undefined;
	#client: VersionedOriginClient | undefined;

	constructor(reader: EngineDirectoryReader) {
		this.#reader = reader;
	}

	get failureDomain(): string | undefined {
		return this.#reader.directory?.origin?.failureDomain;
	}

	/** This object; undefined while no origin is configured. */
	readonly client = (): VersionedOrigin | undefined => {
		const address = this.#reader.directory?.origin?.address;
		if (address !== this.#address) {
			void this.#client?.close();
			this.#client = address === undefined ? undefined : new VersionedOriginClient({address, timeoutMs: ORIGIN_TIMEOUT_MS, connections: ORIGIN_CONNECTIONS});
			this.#address = address;
		}

		return this.#client && this;
	};

	readonly digests = async (model: string, version: number): Outcome<VersionDigests> => this.#recheckIfUnavailable(await this.#client!.digests(model, version));

	readonly piece = async (model: string, version: number, index: number, signal?: AbortSignal): Outcome<Uint8Array> =>
		this.#recheckIfUnavailable(await this.#client!.piece(model, version, index, signal));

	/** Reads the directory again if the origin is unavailable, because its address may have changed. */
	#recheckIfUnavailable<Value>(answer: Awaited<Outcome<Value>>): Awaited<Outcome<Value>> {
		if (answer.err && answer.val.kind === 'unavailable') {
			void this.#reader.readAfterChangeHint();
		}

		return answer;
	}
}
