/** Chooses the peers that a member asks for the digests of a version, and takes the first usable answer. */
import type {Random} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';
import {PREFERRED_DIGEST_PEER_COUNT} from './constants.js';

/**
Chooses a few members that read the digests from the origin, and one other member. Members of the own region come first,
because the links between regions may be full.
*/
export const chooseDigestPeers = ({members, self, readers, random}: {
	readonly members: readonly MemberRecord[];
	readonly self: Pick<MemberRecord, 'id' | 'region'>;

	/** Identifiers of the members that read the digests from the origin. */
	readonly readers: readonly string[];
	readonly random: Random;
}): readonly MemberRecord[] => {
	const others = members.filter(({id}) => id !== self.id);
	const sampleOwnRegionFirst = (candidates: readonly MemberRecord[], count: number): readonly MemberRecord[] => {
		const inRegion = random.sample(candidates.filter(({region}) => region === self.region), count);
		return [...inRegion, ...random.sample(candidates.filter(({region}) => region !== self.region), count - inRegion.length)];
	};

	return [
		...sampleOwnRegionFirst(others.filter(({id}) => readers.includes(id)), PREFERRED_DIGEST_PEER_COUNT),
		...sampleOwnRegionFirst(others.filter(({id}) => !readers.includes(id)), 1),
	];
};

/** @returns the first answer that is not undefined, without waiting for the slower ones; undefined when there is none */
export const firstDefined = async <Answer>(requests: ReadonlyArray<Promise<Answer | undefined>>): Promise<Answer | undefined> => {
	const answers = requests.map(async request => {
		const answer = await request;
		if (answer === undefined) {
			throw new Error('no answer');
		}

		return answer;
	});
	try {
		return await Promise.any(answers);
	} catch {
		// No request had an answer, or one of them failed; the code that sent it reports the cause.
		return undefined;
	}
};
