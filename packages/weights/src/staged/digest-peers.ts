/** Whom a member asks for the digests of a version, and how it takes the first answer. */
import type {Random} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';
import {PREFERRED_DIGEST_PEER_COUNT} from './constants.js';

/** A few readers of the digests and one other member; of the own region as far as there are such, since links between regions may be full. */
export const chooseDigestPeers = ({members, self, readers, random}: {
	readonly members: readonly MemberRecord[];
	readonly self: Pick<MemberRecord, 'id' | 'region'>;

	/** Members that read the digests at the origin. */
	readonly readers: readonly string[];
	readonly random: Random;
}): readonly MemberRecord[] => {
	const others = members.filter(({id}) => id !== self.id);
	const sampleNear = (candidates: readonly MemberRecord[], count: number): readonly MemberRecord[] => {
		const near = random.sample(candidates.filter(({region}) => region === self.region), count);
		return [...near, ...random.sample(candidates.filter(({region}) => region !== self.region), count - near.length)];
	};

	return [
		...sampleNear(others.filter(({id}) => readers.includes(id)), PREFERRED_DIGEST_PEER_COUNT),
		...sampleNear(others.filter(({id}) => !readers.includes(id)), 1),
	];
};

/** The first answer that is something; nothing when there is none. One that hangs does not hold up the others. */
export const firstDefined = async <Answer>(questions: ReadonlyArray<Promise<Answer | undefined>>): Promise<Answer | undefined> => {
	const answers = questions.map(async question => {
		const answer = await question;
		if (answer === undefined) {
			throw new Error('no answer');
		}

		return answer;
	});
	try {
		return await Promise.any(answers);
	} catch {
		// The caller of each question has logged why it failed.
		return undefined;
	}
};
