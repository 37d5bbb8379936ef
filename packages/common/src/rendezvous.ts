/**
Rendezvous (highest random weight) hashing: every process that knows the same members picks the same order for a key.

Scores mix a cached 32-bit hash of the member with one of the key, so that ranking many keys over many members
costs no cryptographic hash for each pair.
*/
import {createHash} from 'node:crypto';

const MAX_CACHED_HASHES = 100_000;
const cachedHashes = new Map<string, number>();

const hash32 = (text: string): number => {
	const known = cachedHashes.get(text);
	if (known !== undefined) {
		return known;
	}

	if (cachedHashes.size >= MAX_CACHED_HASHES) {
		cachedHashes.clear();
	}

	const value = createHash('sha256').update(text).digest().readUInt32LE(0);
	cachedHashes.set(text, value);
	return value;
};

/* eslint-disable no-bitwise -- Finalizer of a 32-bit hash. */
const mix = (value: number): number => {
	let mixed = value;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
};

/** Weight of a member for a key, from 0 to 2^32 - 1. */
export const score = (key: string, member: string): number => mix(hash32(key) ^ mix(hash32(member)));
/* eslint-enable no-bitwise */

/** Members in descending order of weight for the key; equal weights are ordered by name. */
export const rank = (key: string, members: readonly string[]): readonly string[] => members
	.map(member => ({member, weight: score(key, member)}))
	.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
	.map(({member}) => member);

/** The first `count` members for the key. */
export const topRanked = (key: string, members: readonly string[], count: number): readonly string[] => rank(key, members).slice(0, count);
