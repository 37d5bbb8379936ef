import {expect} from 'chai';
import {sha256} from '@yuccawood/common';
import {HttpVmList, HttpWeightOrigin} from '@yuccawood/interfaces';
import {expectError, expectValue} from './outcomes.js';
import {createWeights, OriginStandIn, VmListStandIn} from './index.js';

const OPTIONS = {
	seed: 1, name: 'kit', version: 'v1', sizeBytes: 150_000, chunkBytes: 64_000,
};

describe('createWeights', () => {
	it('generates the same bytes for the same seed and different bytes for another version', () => {
		const weights = createWeights(OPTIONS);
		expect(createWeights(OPTIONS).hash).to.equal(weights.hash);
		expect(sha256(weights.manifest)).to.equal(weights.hash);
		expect(weights.chunks.map(({data}) => data.byteLength)).to.deep.equal([64_000, 64_000, 22_000]);
		const next = createWeights({...OPTIONS, version: 'v2', sharedChunks: 1});
		expect(next.chunks[0].hash).to.not.equal(weights.chunks[0].hash);
		expect(next.chunks[0].hash).to.equal(createWeights({...OPTIONS, version: 'v3', sharedChunks: 1}).chunks[0].hash);
	});
});

describe('OriginStandIn through HttpWeightOrigin', () => {
	const weights = createWeights(OPTIONS);
	const [{hash}] = weights.chunks;
	let standIn: OriginStandIn;
	let origin: HttpWeightOrigin;

	beforeEach(async () => {
		standIn = new OriginStandIn({weights: [weights], linkBytesPerSecond: 2_000_000});
		origin = new HttpWeightOrigin({address: await standIn.listen(), timeoutMs: 300});
	});

	afterEach(async () => {
		await origin.close();
		await standIn.close();
	});

	it('serves manifests and chunks and counts the bytes of each', async () => {
		expect(sha256(await expectValue(origin.manifest(weights.hash)))).to.equal(weights.hash);
		expect(sha256(await expectValue(origin.chunk(hash)))).to.equal(hash);
		expect(standIn.served[`/chunks/${hash}`]).to.equal(64_000);
		expect(await expectError(origin.chunk('0'.repeat(64)))).to.include({kind: 'not-found'});
	});

	it('shares the bandwidth of its link among connections', async () => {
		const startedAt = performance.now();
		await Promise.all(weights.chunks.map(async chunk => origin.chunk(chunk.hash)));
		expect(performance.now() - startedAt).to.be.above(70);
	});

	it('corrupts only the next chunk and truncates only the next manifest', async () => {
		standIn.setFaults({corruptChunks: 1, truncateManifests: 1});
		expect(sha256(await expectValue(origin.chunk(hash)))).to.not.equal(hash);
		expect(sha256(await expectValue(origin.chunk(hash)))).to.equal(hash);
		const manifests = [await expectValue(origin.manifest(weights.hash)), await expectValue(origin.manifest(weights.hash))];
		expect(manifests[0].byteLength).to.be.below(weights.manifest.byteLength);
		expect(manifests[1].byteLength).to.equal(weights.manifest.byteLength);
	});

	it('reports an incomplete chunk and a stopped origin as unavailable', async () => {
		standIn.setFaults({cutChunks: 1});
		expect(await expectError(origin.chunk(hash))).to.include({kind: 'unavailable'});
		standIn.setFaults({isStopped: true});
		expect(await expectError(origin.chunk(hash))).to.include({kind: 'unavailable'});
	});

	it('does not time out on a slow link as long as bytes arrive', async () => {
		standIn.setFaults({slowBytesPerSecond: 120_000});
		expect(await expectValue(origin.chunk(hash))).to.have.length(64_000);
	});
});

describe('VmListStandIn through HttpVmList', () => {
	it('shows a change only after its lag', async () => {
		let now = 0;
		const clock = {now: () => now, monotonic: () => now, async sleep() {/* Unused. */}};
		const standIn = new VmListStandIn({lagMs: 1000, vms: [{id: 'a', state: 'live'}], clock});
		const list = new HttpVmList({address: await standIn.listen()});
		standIn.setVms([{id: 'a', state: 'leaving'}]);
		expect(await expectValue(list.list())).to.deep.equal([{id: 'a', state: 'live'}]);
		now = 1000;
		expect(await expectValue(list.list())).to.deep.equal([{id: 'a', state: 'leaving'}]);
		await list.close();
		await standIn.close();
	});
});
