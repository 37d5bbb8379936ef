/** Keeps the digests of the pieces of the newest versions, answers peers that ask for them, and asks peers. */
import {systemRandom, topByWeight} from '@yuccawood/common';
import {KEPT_DIGEST_VERSIONS, ORIGIN_DIGEST_READER_COUNT} from './constants.js';
import {chooseDigestPeers, firstDefined} from './digest-peers.js';
import type {StagedWeightManagerOptions} from './staged-weight-manager-options.js';
import type {StagedManifest} from './staged-manifest.js';
import type {VersionDigests} from './types.js';

const DIGESTS_METHOD = 'weights.digests';

export type DigestExchangeOptions = Pick<StagedWeightManagerOptions, 'members' | 'peerServer' | 'askPeer' | 'random'> & {
	/** Region of the origin. */
	readonly storeRegion: () => string;
};

export class DigestExchange {
	readonly #options: DigestExchangeOptions;

	/** Hashes of manifests by version. */
	readonly #manifestHashes = new Map<number, string>();

	/** Digests of pieces by version. */
	readonly #pieceDigests = new Map<number, readonly string[]>();
	#pieceBytes = 0;

	constructor(options: DigestExchangeOptions) {
		this.#options = options;
		options.peerServer.method(DIGESTS_METHOD, ({model, version}: {readonly model: string; readonly version: number}) => this.#answer(model, version));
	}

	/** @returns the hash of the manifest of a version, or undefined before its digests were read */
	manifestHash(version: number): string | undefined {
		return this.#manifestHashes.get(version);
	}

	/** Size of the pieces of a version that fulfil the condition, in bytes; undefined before its digests were read. */
	bytesOf(version: number, isCounted: (hash: string) => boolean = () => true): number | undefined {
		const hashes = this.#pieceDigests.get(version)?.filter(hash => isCounted(hash));
		return hashes && hashes.length * this.#pieceBytes;
	}

	/** Keeps the digests of a version, and drops those of versions that are too old to be asked for. */
	keep({hash, version, manifest}: StagedManifest): void {
		this.#manifestHashes.set(version, hash);
		this.#pieceDigests.set(version, manifest.chunks);
		this.#pieceBytes = manifest.chunkBytes;
		for (const known of this.#manifestHashes.keys()) {
			if (known < version - KEPT_DIGEST_VERSIONS) {
				this.#manifestHashes.delete(known);
				this.#pieceDigests.delete(known);
			}
		}
	}

	/**
	Identifiers of the members that read the digests of a version from the origin; the same for all members with the same table.
	Members in the region of the origin come first, because they can only read its pieces once they know the digests.
	*/
	originReaders(version: number): readonly string[] {
		const {members, storeRegion} = this.#options;
		const near = members.members.filter(({region}) => region === storeRegion());
		const readers = topByWeight(String(version), near.map(({id}) => id), ORIGIN_DIGEST_READER_COUNT);
		const others = members.members.filter(({id}) => !readers.includes(id)).map(({id}) => id);
		return [...readers, ...topByWeight(String(version), others, ORIGIN_DIGEST_READER_COUNT - readers.length)];
	}

	/** Asks peers for the digests of a version. Wrong digests do no harm, since no piece verifies against them. */
	async readFromPeers(model: string, version: number): Promise<VersionDigests | undefined> {
		const {members, random = systemRandom(), askPeer} = this.#options;
		const peers = chooseDigestPeers({
			members: members.members, self: members.self, readers: this.originReaders(version), random,
		});
		return firstDefined(peers.map(async ({address}) => {
			const digests = await askPeer<VersionDigests | null>(address, DIGESTS_METHOD, {model, version}); // eslint-disable-line @typescript-eslint/no-restricted-types
			return digests ?? undefined;
		}));
	}

	/** Answer to a peer that asks for the digests of a version; null if they are not known. */
	#answer(model: string, version: number): VersionDigests | null { // eslint-disable-line @typescript-eslint/no-restricted-types
		const digests = this.#pieceDigests.get(version);
		return digests
			? {
				model, version, pieceBytes: this.#pieceBytes, digests,
			}
			: null;
	}
}
