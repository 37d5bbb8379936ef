import {expect} from 'chai';
import type {ModelTarget, Route, TrafficConfiguration} from '@yuccawood/fleet';
import {pickBackend, RouteTable} from './match-route.js';
import {cancelAt, requiredVersion} from './required-version.js';
import {
	afterFailure, afterSuccess, afterTrialStart, HEALTHY, healthStatus,
} from './upstream-health.js';

const route = (name: string, host: string, prefix: string): Route => ({
	name, host, prefix, kind: 'idempotent', timeoutMs: 1000, goalMs: 100, priority: 0, attempts: 1, isAnonymous: false, isResumable: false,
	gapGoalMs: undefined, backends: [{service: name, weight: 1}],
});

const table = (routes: readonly Route[]): RouteTable => new RouteTable({
	version: 1, routes, services: [], accounts: [{name: 'shop', keys: ['k1', 'k2'], priority: undefined}], requiresKeys: true,
	limits: {
		headerBytes: 1, bodyBytes: 1, headerMs: 1, idleMs: 1,
	},
} satisfies TrafficConfiguration);

describe('RouteTable', () => {
	it('matches the longest path prefix on the host of the request', () => {
		const routes = table([route('root', 'a', '/'), route('deep', 'a', '/x/y/'), route('mid', 'a', '/x/'), route('other', 'b', '/x/y/')]);
		expect(routes.match('a', '/x/y/z')?.name).to.equal('deep');
		expect(routes.match('a', '/x/yy')?.name).to.equal('mid');
		expect(routes.match('a', '/q')?.name).to.equal('root');
		expect(routes.match('c', '/x/y/z')).to.equal(undefined);
	});

	it('does not match a prefix without its slash', () => {
		expect(table([route('x', 'a', '/x/')]).match('a', '/x')).to.equal(undefined);
	});

	it('finds the client account of each of its keys', () => {
		const routes = table([]);
		expect([routes.accountOf('k2')?.name, routes.accountOf('k3')?.name]).to.deep.equal(['shop', undefined]);
	});
});

describe('pickBackend', () => {
	it('picks by weight and never a backend of weight 0', () => {
		const backends = [{service: 'none', weight: 0}, {service: 'most', weight: 3}, {service: 'few', weight: 1}];
		expect([0, 0.5, 0.8].map(random => pickBackend(backends, random))).to.deep.equal(['most', 'most', 'few']);
	});
});

describe('requiredVersion', () => {
	const target = (version: number, learnedAt: number): ModelTarget => ({
		model: 'm', version, learnedAt, knownAt: learnedAt,
	});

	it('allows the old version only until shortly before the staleness bound', () => {
		const options = {boundMs: 8000, canCancel: true};
		expect(requiredVersion([target(2, 0)], {...options, now: 5000})).to.equal(undefined);
		expect(requiredVersion([target(2, 0)], {...options, now: 7500})).to.equal(2);
	});

	it('keeps the staleness bound of an earlier target version when a newer one is set', () => {
		expect(requiredVersion([target(2, 0), target(3, 4000)], {now: 7500, boundMs: 8000, canCancel: true})).to.equal(2);
	});
});

describe('cancelAt', () => {
	it('is shortly before the first staleness bound that the held version exceeds; undefined without a newer target version', () => {
		const targets: readonly ModelTarget[] = [2, 3].map(version => ({
			model: 'm', version, learnedAt: version * 1000, knownAt: version * 1000,
		}));
		expect([1, 2, 3].map(heldVersion => cancelAt(targets, {heldVersion, boundMs: 8000}))).to.deep.equal([9600, 10_600, undefined]);
	});
});

describe('upstream health', () => {
	it('suspends after repeated failures, longer each time, and allows one trial request', () => {
		let health = afterFailure(HEALTHY, 0, {isFatal: false});
		expect(healthStatus(health, 1)).to.equal('good');
		health = afterFailure(health, 0, {isFatal: false});
		expect(healthStatus(health, 1)).to.equal('suspended');
		expect(healthStatus(health, 5000)).to.equal('trial');
		const trying = afterTrialStart(health);
		expect(healthStatus(trying, 5000)).to.equal('suspended');
		const failedAgain = afterFailure(trying, 5000, {isFatal: false});
		expect(failedAgain.suspendedUntil - 5000).to.be.greaterThan(health.suspendedUntil);
		expect(healthStatus(afterSuccess(trying), 5000)).to.equal('good');
	});

	it('does not extend a suspension for failures of requests that were already in flight', () => {
		const health = afterFailure(HEALTHY, 0, {isFatal: true});
		expect(afterFailure(health, 10, {isFatal: true}).suspendedUntil).to.equal(health.suspendedUntil);
	});
});
