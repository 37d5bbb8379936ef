/**
Transfers documents between processes. A process that holds an older revision gets only the sections changed since
then, with a digest of the whole document. If the merged document does not match the digest, for example because a
section was removed, the process fetches the whole document.
*/
import {sha256, type PeerClient, type PeerServer} from '@yuccawood/common';
import {PEER_CALL_TIMEOUT_MS} from './constants.js';
import {renderDocument} from './document.js';
import {isSections} from './head.js';
import type {Sections, Snapshot} from './types.js';

type FetchParameters = {
	/** Revision that the requesting process holds; 0 requests the whole document. */
	readonly have: number;
};

type FetchAnswer = {
	/** Revision that the peer has in force; 0 for none. */
	readonly revision: number;

	/** Highest revision that the peer has heard of. */
	readonly known: number;

	/** SHA-256 of the whole document; absent when the peer has no newer document. */
	readonly digest?: string;

	/** Sections changed after `have`. */
	readonly sections?: Sections;
};

export type PeerAnswer = {
	/** Highest revision that the peer has heard of. */
	readonly known: number;

	/** Document newer than the held one, if the peer has one. */
	readonly snapshot?: Snapshot;
};

const digestOf = (sections: Sections): string => sha256(renderDocument(sections));

/** Serves `configuration.fetch` from the document in force. */
export const serveDocuments = (peerServer: PeerServer, {snapshot, known}: {
	readonly snapshot: () => Snapshot | undefined;
	readonly known: () => number;
}): void => {
	let cached: {readonly of: Snapshot; readonly digest: string} | undefined;
	peerServer.method('configuration.fetch', ({have}: FetchParameters): FetchAnswer => {
		const held = snapshot();
		if (!held || held.revision <= have) {
			return {revision: held?.revision ?? 0, known: known()};
		}

		cached = cached?.of === held ? cached : {of: held, digest: digestOf(held.sections)};
		const changed = Object.entries(held.sections).filter(([, section]) => section.revision > have);
		return {
			revision: held.revision, known: known(), digest: cached.digest, sections: Object.fromEntries(changed),
		};
	});
};

/** Fetches the document of one peer if it is newer than the held one. @throws {RpcError} when the peer does not answer. */
export const fetchDocument = async ({peerClient, address, held}: {
	readonly peerClient: PeerClient;
	readonly address: string;
	readonly held: Snapshot | undefined;
}): Promise<PeerAnswer> => {
	const have = held?.revision ?? 0;
	const request = async (parameters: FetchParameters): Promise<FetchAnswer> => peerClient.call<FetchAnswer>(address, 'configuration.fetch', parameters, {timeoutMs: PEER_CALL_TIMEOUT_MS});
	const partial = readAnswer(await request({have}), held?.sections ?? {});
	return partial ?? readAnswer(await request({have: 0}), {}) ?? {known: have};
};

/** Merges the changed sections into the held ones. @returns `undefined` when the result does not match the digest. */
const readAnswer = ({revision, known, digest, sections}: FetchAnswer, base: Sections): PeerAnswer | undefined => {
	if (digest === undefined) {
		return {known: Math.max(known, revision)};
	}

	const merged = {...base, ...sections};
	if (!isSections(merged) || digestOf(merged) !== digest) {
		return undefined;
	}

	return {known: Math.max(known, revision), snapshot: {revision, sections: merged}};
};
