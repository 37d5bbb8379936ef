import {expect} from 'chai';
import {HttpModelEngine, type LoadOrder} from '@yuccawood/interfaces';
import {expectError, expectValue} from './outcomes.js';
import {createWeights, EngineStandIn, expectedAnswer} from './index.js';

const weightsOf = (version: string) => createWeights({
	seed: 1, name: 'kit', version, sizeBytes: 3000, chunkBytes: 1000,
});

const orderFor = ({hash, chunks}: ReturnType<typeof weightsOf>, version: string, fencingNumber = 1): LoadOrder => ({
	fencingNumber, manifest: hash, name: 'kit', version, kind: 'model', chunks: chunks.map(chunk => chunk.hash),
});

const messages = (content: string) => [{role: 'user', content}];

const isRejected = async (call: Promise<unknown>): Promise<boolean> => {
	try {
		await call;
		return false;
	} catch {
		return true;
	}
};

describe('EngineStandIn through HttpModelEngine', () => {
	let standIn: EngineStandIn;
	let engine: HttpModelEngine;
	let address: string;

	const start = async (options?: ConstructorParameters<typeof EngineStandIn>[0]) => {
		standIn = new EngineStandIn({tokenIntervalMs: 1, crashDownMs: 50, ...options});
		address = await standIn.listen();
		engine = new HttpModelEngine({address});
	};

	const rollOut = async (version: string): Promise<string> => {
		const weights = weightsOf(version);
		await Promise.all(weights.chunks.map(async ({hash, data}) => engine.putChunk(hash, data)));
		const computed = await expectValue(engine.load(orderFor(weights, version)));
		await expectValue(engine.activate({fencingNumber: 1, manifest: computed}));
		return computed;
	};

	const complete = async (fields: Readonly<Record<string, unknown>>, requestId = 'r', signal?: AbortSignal) => fetch(`http://${address}/v1/chat/completions`, {
		method: 'POST', body: JSON.stringify({model: 'kit', ...fields}), headers: {'x-request-id': requestId}, signal,
	});

	const waitUntil = async (check: () => boolean): Promise<void> => {
		while (!check()) {
			await engine.state();
		}
	};

	afterEach(async () => {
		await engine.close();
		await standIn.close();
	});

	describe('weights', () => {
		it('computes the manifest hash from the stored chunks, which reveals a corrupt one', async () => {
			await start();
			const weights = weightsOf('v1');
			expect(await expectError(engine.load(orderFor(weights, 'v1')))).to.include({kind: 'rejected'});
			expect(await rollOut('v1')).to.equal(weights.hash);
			await engine.putChunk(weights.chunks[1].hash, weights.chunks[0].data);
			expect(await expectValue(engine.load(orderFor(weights, 'v1')))).to.not.equal(weights.hash);
		});

		it('computes the manifest hash of an adapter with its base model', async () => {
			await start();
			await rollOut('v1');
			const adapter = createWeights({
				seed: 2, name: 'tone', version: 'a1', kind: 'adapter', base: 'kit', sizeBytes: 500, chunkBytes: 1000,
			});
			await engine.putChunk(adapter.chunks[0].hash, adapter.chunks[0].data);
			const order: LoadOrder = {
				fencingNumber: 1, manifest: adapter.hash, name: 'tone', version: 'a1', kind: 'adapter', chunks: [adapter.chunks[0].hash],
			};
			expect(await expectValue(engine.load(order))).to.equal(adapter.hash);
		});

		it('refuses a stale fencing number only if `checksFencing` is set', async () => {
			await start();
			await rollOut('v1');
			await engine.activate({fencingNumber: 9, manifest: weightsOf('v1').hash});
			expect(await expectError(engine.activate({fencingNumber: 8, manifest: weightsOf('v1').hash}))).to.include({kind: 'stale-fencing'});
			await engine.close();
			await standIn.close();
			await start({checksFencing: false});
			await rollOut('v1');
			await engine.activate({fencingNumber: 9, manifest: weightsOf('v1').hash});
			await expectValue(engine.activate({fencingNumber: 8, manifest: weightsOf('v1').hash}));
		});
	});

	describe('completions', () => {
		it('refuses a model that is not active', async () => {
			await start();
			const response = await complete({messages: messages('hi')});
			expect(response.status).to.equal(404);
			expect(standIn.log.some(({event}) => event === 'run')).to.equal(false);
		});

		it('finishes a stream with the version that it started with', async () => {
			await start({tokenIntervalMs: 3});
			const first = await rollOut('v1');
			const fields = {messages: messages('hi'), max_tokens: 30, stream: true};
			const response = await complete(fields);
			const second = await rollOut('v2');
			const text = await response.text();
			const content = [...text.matchAll(/"content":"([^"]*)"/g)].map(([, part]) => part).join('');
			expect(response.headers.get('x-model-version')).to.equal(first);
			expect(content).to.equal(expectedAnswer({manifest: first, model: 'kit', messages: fields.messages}, 30));
			expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
			const later = await complete({messages: fields.messages});
			expect(later.headers.get('x-model-version')).to.equal(second);
		});

		it('runs queued requests by priority and refuses requests when the queue is full', async () => {
			await start({
				capacity: 1, queueLimit: 2, tokenIntervalMs: 5, loadReportLagMs: 0,
			});
			await rollOut('v1');
			const controller = new AbortController();
			const running = isRejected(complete({messages: messages('a'), max_tokens: 100_000}, 'running', controller.signal));
			const waiting: Array<Promise<Response>> = [];
			for (const [priority, requestId] of [[1, 'low'], [8, 'high']] as const) {
				waiting.push(complete({messages: messages('b'), priority}, requestId));
				let state = await expectValue(engine.state());
				while (state.waiting < waiting.length) {
					state = await expectValue(engine.state());
				}
			}

			const full = await complete({messages: messages('d'), priority: 9}, 'beyond');
			expect(full.status).to.equal(503);
			controller.abort();
			await Promise.all([running, ...waiting]);
			const order = standIn.log.filter(({event}) => event === 'run').map(({requestId}) => requestId);
			expect(order).to.deep.equal(['running', 'high', 'low']);
		});

		it('cancels a request when its caller disconnects', async () => {
			await start({tokenIntervalMs: 20});
			await rollOut('v1');
			const controller = new AbortController();
			const lost = isRejected(complete({messages: messages('a'), max_tokens: 1000}, 'gone', controller.signal));
			await waitUntil(() => standIn.counters.completion === 1);
			controller.abort();
			expect(await lost).to.equal(true);
			await waitUntil(() => standIn.log.some(({event, requestId}) => event === 'cancelled' && requestId === 'gone'));
		});

		it('closes the connection of a lost answer before the last token', async () => {
			await start();
			await rollOut('v1');
			standIn.setFaults({loseAnswers: 1});
			const response = await complete({messages: messages('a'), stream: true}, 'lost');
			expect(await isRejected(response.text())).to.equal(true);
			const events = standIn.log.filter(({requestId}) => requestId === 'lost').map(({event}) => event);
			expect(events).to.deep.equal(['run', 'answer-lost']);
		});

		it('counts prefix-cache hits and publishes cache events with a lag', async () => {
			let now = 0;
			const clock = {now: () => now, monotonic: () => now, async sleep() {/* Unused. */}};
			await start({clock, cacheEventLagMs: 100, cacheEventGapShare: 0});
			await rollOut('v1');
			await complete({messages: messages('x'.repeat(640))});
			await complete({messages: messages('x'.repeat(640))});
			expect(standIn.counters).to.include({'cache-blocks': 20, 'cache-hits': 10});
			expect(standIn.cacheEvents()).to.have.length(0);
			now = 100;
			expect(standIn.cacheEvents()).to.have.length(10);
		});
	});

	it('loses its weights and requests in a crash and restarts with a new incarnation', async () => {
		await start();
		await rollOut('v1');
		const before = await expectValue(engine.state());
		expect(await isRejected(complete({messages: messages('now [crash the engine]')}))).to.equal(true);
		await waitUntil(() => standIn.log.some(({event}) => event === 'up'));
		const after = await expectValue(engine.state());
		expect(after.versions).to.have.length(0);
		expect(after.incarnation).to.not.equal(before.incarnation);
	});
});
