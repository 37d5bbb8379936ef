/** Versions that only peers know, and answers of peers of another form. */
import {PeerServer, SystemClock} from '@yuccawood/common';
import type {FleetView} from '@yuccawood/fleet';
import {expect} from 'chai';
import {AgeExchangeFixture, AGE_EXCHANGE_PORT as PORT, setTarget} from './testing/age-exchange-fixture.js';

const clock = new SystemClock();

describe('TargetAgeExchange, answers of peers', () => {
	let fixture: AgeExchangeFixture;
	const start: AgeExchangeFixture['start'] = async (...parameters) => fixture.start(...parameters);

	beforeEach(() => {
		fixture = new AgeExchangeFixture();
	});

	afterEach(async () => {
		await fixture.close();
	});

	describe('when a version was superseded before this process started', () => {
		/** Starts a process whose store holds only the newest version, as after a restart. */
		const restart = async (peers: readonly number[]): Promise<FleetView> => {
			const restarted = await start('127.0.73.8', peers.map(index => `127.0.73.${index}:${PORT}`));
			restarted.apply({kind: 'target', model: 'm', version: 3}, {revision: 3, mayBeLeaseExpiry: false});
			await clock.sleep(150);
			return restarted;
		};

		it('counts the bound of that version as its peers do', async () => {
			const peers = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
			const setAt = clock.monotonic();
			for (const view of peers) {
				setTarget(view, 2);
			}

			await clock.sleep(300);
			for (const view of peers) {
				setTarget(view, 3);
			}

			const restarted = await restart([1, 2, 3]);
			expect(restarted.targetsOf('m').map(({version}) => version)).to.deep.equal([2, 3]);
			expect(restarted.targetsOf('m')[0].learnedAt).to.be.within(setAt, setAt + 150);
			expect(restarted.targetOf('m')!.learnedAt).to.be.within(setAt + 300, setAt + 450);
		});

		it('does not take over what a peer assumes of it if another saw it being set', async () => {
			const peers = await Promise.all([1, 2].map(async index => start(`127.0.73.${index}`, [], {initialTargetAgeMs: index === 2 ? 5000 : 0})));
			const setAt = clock.monotonic();
			setTarget(peers[0], 2, 0, {isDelivered: true});
			peers[1].apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLeaseExpiry: false});
			const restarted = await restart([1, 2]);
			expect(restarted.targetsOf('m').map(({version}) => version)).to.deep.equal([2, 3]);
			expect(restarted.targetsOf('m')[0].learnedAt).to.be.at.least(setAt);
		});

		it('takes over what a peer assumes of it if none saw it being set', async () => {
			const peer = await start('127.0.73.1', [], {initialTargetAgeMs: 5000});
			const startedAt = clock.monotonic();
			peer.apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLeaseExpiry: false});
			const restarted = await restart([1]);
			expect(restarted.targetsOf('m')[0].learnedAt).to.be.within(startedAt - 5100, startedAt - 4850);
		});
	});

	describe('when the answer of a peer has another form', () => {
		const age = {
			model: 'm', version: 2, ageMs: 5, countedMs: 5, absentMs: 5, witnessedMs: 5,
		};
		const oddAnswers: readonly unknown[] = [
			null,
			7,
			'text',
			{},
			{region: 'south', ages: 7},
			{region: 'south', ages: [null]},
			{region: 7, ages: [age]},
			...[{version: 1e308}, {version: 1.5}, {ageMs: 'now'}, {ageMs: null}, {ageMs: 1e308}, {ageMs: -1e308}, {countedMs: 1e308}, {witnessedMs: 'now'}, {absentMs: 1e308}, {model: 7}]
				.map(fields => ({region: 'south', ages: [age, {...age, version: 1, ...fields}]})),
		];

		const startOdd = async (host: string, answer: unknown): Promise<void> => {
			const server = new PeerServer();
			server.method('fleet.targetAges', () => answer);
			await server.listen(host, PORT);
			fixture.onClose(async () => server.close());
		};

		for (const first of [0, 8]) {
			it(`ignores it and asks the other peers, answers ${first} to ${first + 7}`, async () => {
				const early = await start('127.0.73.1', []);
				const answers = oddAnswers.slice(first, first + 8);
				for (const [index, answer] of answers.entries()) {
					await startOdd(`127.0.73.${index + 20}`, answer);
				}

				const view = await start('127.0.73.2', [`127.0.73.1:${PORT}`], {others: answers.map((_, index) => `127.0.73.${index + 20}:${PORT}`)});
				const setAt = clock.monotonic();
				setTarget(early, 2);
				await clock.sleep(400);
				setTarget(view, 2);
				await clock.sleep(1000);
				expect(view.targetsOf('m').map(({version}) => version)).to.deep.equal([2]);
				expect(view.targetOf('m')!.learnedAt).to.be.within(setAt, setAt + 150);
			});
		}
	});
});
