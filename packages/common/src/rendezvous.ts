/**
Rendezvous (highest random weight) hashing: all processes with the same list of members rank them in the same order for a key.

A weight combines two cached 32-bit hashes, one of the key and one of the member. Ranking many keys over many members thus needs no
cryptographic hash for each pair.
*/
import {createHash} from 'node:crypto';

/** Number of cached hashes at which the cache is emptied, which bounds its memory. */
const MAX_CACHED_HASHES = 100_000;
const cachedHashes = new Map<string, number>();

const hash32 = (text: string): number => {
	const cached = cachedHashes.get(text);
	if (cached !== undefined) {
		return cached;
	}

	if (cachedHashes.size >= MAX_CACHED_HASHES) {
		cachedHashes.clear();
	}

	const value = createHash('sha256').update(text).digest().readUInt32LE(0);
	cachedHashes.set(text, value);
	return value;
};

/* eslint-disable no-bitwise -- Finalizer of MurmurHash3 (32 bits). */
const mix = (value: number): number => {
	let mixed = value;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	return (mixed ^ (mixed >>> 16)) >>> 0;
};

/** Weight of a member for a key: an integer from 0 to 2^32 - 1. */
export const rendezvousWeight = (key: string, member: string): number => mix(hash32(key) ^ mix(hash32(member)));
/* eslint-enable no-bitwise */

/** Members by descending weight for the key; members of equal weight by name. */
export const rankByWeight = (key: string, members: readonly string[]): readonly string[] => members
	.map(member => ({member, weight: rendezvousWeight(key, member)}))
	.sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
	.map(({member}) => member);

/** The `count` members with the highest weights for the key. */
export const topByWeight = (key: string, members: readonly string[], count: number): readonly string[] => rankByWeight(key, members).slice(0, count);
