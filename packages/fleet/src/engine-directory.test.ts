import {expect} from 'chai';
import {engineDirectoryOf, isSameDirectory} from './engine-directory.js';
import type {Route, Service, TrafficConfiguration} from './types.js';

const route = (service: string, changes: Partial<Route>): Route => ({
	name: 'r', host: 'h', prefix: '/', kind: 'idempotent', timeoutMs: 1, goalMs: 1, priority: 0, attempts: 1, isAnonymous: false, isResumable: false, gapGoalMs: undefined,
	backends: [{service, weight: 1}], ...changes,
});

const engine: Service = {
	name: 'engines', maxConnections: 1, origin: undefined, engine: {
		models: ['m'], slots: 1, stepMs: 1, stepMsPerRequest: 1, stepsPerPass: 1, prefillTokensPerSecond: 1, prefillTokensPerPass: 1, usualPromptTokens: 1, usualAnswerTokens: 1, layers: 1, chunks: 1, chunkBytes: 1,
	},
};

const configuration = (routes: readonly Route[]): TrafficConfiguration => ({
	version: 1, routes, accounts: [], requiresKeys: false,
	services: [
		{...engine, engine: undefined, name: 'plain'},
		engine,
		{
			...engine, engine: undefined, name: 'weights', origin: {address: 'a:1', failureDomain: 'z', linkMegabitsPerSecond: 9},
		},
	],
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
	},
});

describe('engineDirectoryOf', () => {
	it('contains only engine services and the origin', () => {
		expect(engineDirectoryOf(configuration([route('plain', {})]), 7)).to.deep.equal({
			revision: 7, services: [{name: 'engines', models: ['m'], isRepeatable: true}], origin: {address: 'a:1', failureDomain: 'z'},
		});
	});

	it('is not repeatable if requests of one route to the engine cannot be retried', () => {
		const isRepeatable = (routes: readonly Route[]) => engineDirectoryOf(configuration(routes), 1).services[0].isRepeatable;
		expect(isRepeatable([route('engines', {kind: 'stream', isResumable: true})])).to.equal(true);
		expect(isRepeatable([route('engines', {kind: 'stream', isResumable: true}), route('engines', {kind: 'stream'})])).to.equal(false);
		expect(isRepeatable([route('plain', {kind: 'once', backends: [{service: 'plain', weight: 1}, {service: 'engines', weight: 1}]})])).to.equal(false);
	});

	it('is equal while only other parts of the configuration change', () => {
		const before = engineDirectoryOf(configuration([route('plain', {})]), 1);
		expect(isSameDirectory(before, engineDirectoryOf(configuration([route('plain', {}), route('plain', {kind: 'once'})]), 2))).to.equal(true);
		expect(isSameDirectory(before, engineDirectoryOf(configuration([route('engines', {kind: 'once'})]), 2))).to.equal(false);
	});
});
