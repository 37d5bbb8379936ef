/** Fetches manifests through trees of members, as chunks are fetched, so that the origin sends each manifest once. */
import type {ChunkFetcherOptions} from './chunk-fetcher.js';
import {MAX_ORIGIN_RETRY_MS, ORIGIN_RETRY_MS} from './constants.js';
import {listParticipants, planSource, type Source} from './fetch-plan.js';
import {checkSubject, parseManifest, type ManifestSubject} from './manifest.js';
import type {VerifiedManifest, ManifestLibrary} from './manifest-library.js';

/**
Unsuccessful requests after which a member is avoided. A member may fail the first one because a configuration edit has
not reached it yet.
*/
const MAX_ATTEMPTS_PER_PEER = 2;

/** Time for which a member that failed to send a manifest is not asked for it. */
const AVOID_SENDER_MS = 5000;

export type ManifestFetcherOptions = Pick<
	ChunkFetcherOptions,
	'selfId' | 'service' | 'storeRegion' | 'members' | 'origin' | 'peers' | 'avoidance' | 'clock' | 'random' | 'log' | 'metrics'
> & {readonly library: ManifestLibrary};

export class ManifestFetcher {
	readonly #options: ManifestFetcherOptions;

	constructor(options: ManifestFetcherOptions) {
		this.#options = options;
	}

	/**
	Fetches a manifest until it describes `subject`. A wrong manifest is logged and fetched again. @returns `undefined`
	if the signal aborted.
	*/
	async fetch(hash: string, subject: ManifestSubject, signal: AbortSignal): Promise<VerifiedManifest | undefined> {
		const {library, clock, random, avoidance} = this.#options;
		const attempts = new Map<string, number>();
		let failures = 0;
		while (!signal.aborted) {
			const verified = library.get(hash) ?? await this.#fetchOnce(hash, attempts, signal);
			if (verified && this.#matchesSubject(verified, subject)) {
				return verified;
			}

			if (verified ?? this.#planSource(hash).kind === 'origin') {
				await clock.sleep(Math.min(MAX_ORIGIN_RETRY_MS, ORIGIN_RETRY_MS * (2 ** failures++)) * (0.5 + random.next()), signal);
				avoidance.clear(hash);
				attempts.clear();
			}
		}

		return undefined;
	}

	#matchesSubject({manifest}: VerifiedManifest, subject: ManifestSubject): boolean {
		const matched = checkSubject(manifest, subject);
		if (matched.err) {
			this.#options.log.error(matched.val.message, {name: subject.name});
		}

		return matched.ok;
	}

	#planSource(hash: string): Source {
		const {selfId, service, storeRegion, members, avoidance} = this.#options;
		return planSource({
			tree: {key: hash, isReversed: false},
			manifest: hash,
			selfId,
			region: members.self.region,
			storeRegion: storeRegion(),
			participants: listParticipants(members.members, {selfId, service, manifest: hash}),
			isAvoided: id => avoidance.isAvoided(id) || avoidance.isAvoided(id, hash),
		}).source;
	}

	/** Asks one source. Avoids a peer that sent an invalid manifest or failed repeatedly. */
	async #fetchOnce(hash: string, attempts: Map<string, number>, signal: AbortSignal): Promise<VerifiedManifest | undefined> {
		const {peers, origin, library, log, avoidance, metrics} = this.#options;
		const source = this.#planSource(hash);
		const sender = source.kind === 'origin' ? 'origin' : source.id;
		let bytes: Uint8Array | undefined;
		if (source.kind === 'origin') {
			const result = await origin.manifest(hash, signal);
			bytes = result.ok ? result.val : undefined;
			if (result.err && !signal.aborted) {
				log.warn('The origin did not return a manifest. The manifest is fetched again.', {manifest: hash, error: result.val.message});
			}
		} else {
			bytes = await peers.fetchManifest(source.address, hash, signal);
		}

		const parsed = bytes && parseManifest(bytes, hash);
		if (parsed?.ok) {
			const verified: VerifiedManifest = {hash, manifest: parsed.val, bytes: bytes!};
			library.add(verified);
			return verified;
		}

		if (parsed?.err) {
			metrics.count('weights.invalid_manifests', {kind: parsed.val.kind});
			log.error(parsed.val.message, {sender});
		}

		if (source.kind === 'peer') {
			attempts.set(sender, (attempts.get(sender) ?? 0) + 1);
			if (parsed ?? attempts.get(sender)! >= MAX_ATTEMPTS_PER_PEER) {
				avoidance.avoid(sender, AVOID_SENDER_MS, hash);
			}
		}

		return undefined;
	}
}
