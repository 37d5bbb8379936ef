import {delay, seededRandom} from '@yuccawood/common';
import type {MemberRecord} from '@yuccawood/membership';
import {expect} from 'chai';
import {chooseDigestPeers, firstDefined} from './digest-peers.js';

const member = (id: string, region: string): MemberRecord => ({id, region} as unknown as MemberRecord);

const chosenIds = (members: readonly MemberRecord[], readers: readonly string[]): readonly string[] =>
	chooseDigestPeers({
		members, self: {id: 'e0', region: 'east'}, readers, random: seededRandom(1),
	}).map(({id}) => id);

const answerWithout = async (): Promise<string | undefined> => undefined;

describe('requests for the digests of a version', () => {
	it('prefer members of the own region that read the digests from the origin, because links between regions may be full', () => {
		const members = [...['e0', 'e1', 'e2', 'e3'].map(id => member(id, 'east')), ...['w1', 'w2', 'w3'].map(id => member(id, 'west'))];
		expect([...chosenIds(members, ['e1', 'e2', 'w1', 'w2'])].sort()).to.deep.equal(['e1', 'e2', 'e3']);
		expect([...chosenIds(members, ['e1', 'w1'])].sort().slice(0, 2)).to.include('e1');
		expect(chosenIds(members, ['w1', 'w2', 'w3']).filter(id => id.startsWith('w')).length).to.equal(2);
	});

	it('take the first usable answer without waiting for a member that does not answer', async () => {
		const startedAt = performance.now();
		const answer = await firstDefined([
			(async () => {
				await delay(1000);
				return undefined;
			})(),
			answerWithout(),
			(async () => {
				await delay(10);
				return 'digests';
			})(),
		]);
		expect(answer).to.equal('digests');
		expect(performance.now() - startedAt).to.be.lessThan(500);
	});

	it('end without an answer when no member knows the digests', async () => {
		expect(await firstDefined([answerWithout()])).to.equal(undefined);
		expect(await firstDefined([])).to.equal(undefined);
	});
});
