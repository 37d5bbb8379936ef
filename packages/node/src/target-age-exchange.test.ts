import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {AgeExchangeFixture, AGE_EXCHANGE_PORT as PORT, setTarget} from './testing/age-exchange-fixture.js';

const clock = new SystemClock();

describe('TargetAgeExchange', () => {
	let fixture: AgeExchangeFixture;
	const start: AgeExchangeFixture['start'] = async (...parameters) => fixture.start(...parameters);

	beforeEach(() => {
		fixture = new AgeExchangeFixture();
	});

	afterEach(async () => {
		await fixture.close();
	});

	it('adopts the time at which a peer learned of a version if this process learned of it later', async () => {
		const early = await start('127.0.73.1', []);
		const late = await start('127.0.73.2', [`127.0.73.1:${PORT}`, `127.0.73.9:${PORT}`]);
		const setAt = clock.monotonic();
		setTarget(early, 2);
		await clock.sleep(400);
		setTarget(late, 2);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.within(setAt, setAt + 150);
		expect(early.targetOf('m')!.learnedAt).to.be.within(setAt, setAt + 50);
	});

	it('adopts that time although the answer of the peer was slow to arrive', async () => {
		const answerDelayMs = 600;
		const early = await start('127.0.73.1', [], {answerDelayMs});
		const late = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const setAt = clock.monotonic();
		setTarget(early, 2);
		await clock.sleep(1000);
		setTarget(late, 2);
		await clock.sleep(answerDelayMs + 150);
		expect(late.targetOf('m')!.learnedAt - setAt).to.be.below(150);
	});

	it('asks again when peers that learned of the version earlier did not answer, although the one that answered knows it', async () => {
		const early = await start('127.0.73.1', [], {listensLater: true});
		const neighbour = await start('127.0.73.3', []);
		const late = await start('127.0.73.2', [1, 3].map(index => `127.0.73.${index}:${PORT}`));
		const setAt = clock.monotonic();
		setTarget(early, 2);
		await clock.sleep(1000);
		setTarget(neighbour, 2);
		setTarget(late, 2);
		await clock.sleep(200);
		await early.listen();
		await clock.sleep(1000);
		expect(late.targetOf('m')!.learnedAt - setAt).to.be.below(150);
	});

	it('asks again when peers that learned of the version earlier did not answer, although others confirmed a later time', async () => {
		const early = await start('127.0.73.4', [], {region: 'south', listensLater: true});
		const neighbours = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [1, 2, 3, 4].map(index => `127.0.73.${index}:${PORT}`));
		const setAt = clock.monotonic();
		setTarget(early, 2);
		await clock.sleep(1000);
		for (const view of [late, ...neighbours]) {
			setTarget(view, 2, 1000);
		}

		await clock.sleep(200);
		await early.listen();
		await clock.sleep(1000);
		expect(late.targetOf('m')!.learnedAt - setAt).to.be.below(150);
	});

	it('reports no change for differences within the duration of a call between peers', async () => {
		const early = await start('127.0.73.1', []);
		const next = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const changes: string[] = [];
		setTarget(early, 2);
		await clock.sleep(10);
		next.onChange(change => {
			changes.push(change);
		});
		setTarget(next, 2);
		await clock.sleep(150);
		expect(changes).to.deep.equal(['targets']);
	});

	it('does not adopt an age that the peer only assumes', async () => {
		const cautious = await start('127.0.73.1', []);
		const other = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const setAt = clock.monotonic();
		setTarget(cautious, 2, 5000);
		setTarget(other, 2);
		await clock.sleep(150);
		expect(other.targetOf('m')!.learnedAt).to.be.at.least(setAt);
	});

	it('drops the cautious assumption if the store was unreachable until now for peers in all regions', async () => {
		const others = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		const returnedAt = clock.monotonic();
		for (const view of [late, ...others]) {
			setTarget(view, 2, 9000, {sinceUnreachableMs: 0});
		}

		expect(late.targetOf('m')!.learnedAt).to.be.below(returnedAt - 8000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.at.least(returnedAt);
	});

	it('keeps the cautious assumption if all peers learned of the version as late, although the store was reachable, as when their connections had gone silent', async () => {
		const others = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		const learnedAt = clock.monotonic();
		for (const view of [late, ...others]) {
			setTarget(view, 2, 3000, {sinceUnreachableMs: 60_000});
		}

		await clock.sleep(400);
		expect(late.targetOf('m')!.learnedAt).to.be.below(learnedAt - 2900);
	});

	it('drops the cautious assumption if waiting watches delivered the version to peers in all regions', async () => {
		const others = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [], {region: index === 3 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		const deliveredAt = clock.monotonic();
		for (const view of others) {
			setTarget(view, 2, 900, {isDelivered: true});
		}

		setTarget(late, 2, 3000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.at.least(deliveredAt);
	});

	it('counts from when one peer knew for certain that the version was not set yet', async () => {
		const follower = await start('127.0.73.1', []);
		const late = await start('127.0.73.2', [`127.0.73.1:${PORT}`]);
		const learnedAt = clock.monotonic();
		setTarget(follower, 2, 0, {ageBoundMs: 700});
		setTarget(late, 2, 9000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.within(learnedAt - 750, learnedAt - 650);
	});

	it('drops the cautious assumption in a deployment of few entries, some of which have just restarted, if the agents learned of the version just now', async () => {
		const [restartedEntry, ...agents] = await Promise.all([1, 2, 3, 4].map(async index => start(`127.0.73.${index}`, [], {region: index === 4 ? 'south' : 'north'})));
		const late = await start('127.0.73.8', [`127.0.73.1:${PORT}`], {others: [2, 3, 4].map(index => `127.0.73.${index}:${PORT}`)});
		const returnedAt = clock.monotonic();
		restartedEntry.apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLeaseExpiry: false});
		for (const view of [late, ...agents]) {
			setTarget(view, 2, 9000, {sinceUnreachableMs: 0});
		}

		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.at.least(returnedAt);
	});

	it('keeps the cautious assumption if no peer of another region answers', async () => {
		const neighbours = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [])));
		const late = await start('127.0.73.8', [1, 2, 3, 9].map(index => `127.0.73.${index}:${PORT}`));
		const learnedAt = clock.monotonic();
		for (const view of [late, ...neighbours]) {
			setTarget(view, 2, 3000, {sinceUnreachableMs: 0});
		}

		await clock.sleep(400);
		expect(late.targetOf('m')!.learnedAt).to.be.below(learnedAt - 2500);
	});

	it('keeps the cautious assumption if its peers have just started', async () => {
		const started = await Promise.all([1, 2, 3].map(async index => start(`127.0.73.${index}`, [])));
		const late = await start('127.0.73.8', [1, 2, 3].map(index => `127.0.73.${index}:${PORT}`));
		for (const view of started) {
			view.apply({kind: 'target', model: 'm', version: 2}, {revision: 2, mayBeLeaseExpiry: false});
		}

		const learnedAt = clock.monotonic();
		setTarget(late, 2, 9000);
		await clock.sleep(150);
		expect(late.targetOf('m')!.learnedAt).to.be.below(learnedAt - 8000);
	});
});
