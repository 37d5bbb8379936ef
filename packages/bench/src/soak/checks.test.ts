import {expect} from 'chai';
import {expectedAnswer, type LogEntry} from '@yuccawood/stand-ins';
import {check} from './checks.js';
import type {Attempt, CallRecord, Evidence} from './evidence.js';

const MANIFEST = 'a'.repeat(64);
const messages = [{role: 'user', content: 'hello'}];
const text = expectedAnswer({manifest: MANIFEST, model: 'kit', messages}, 8);

const attempt = (fields: Partial<Attempt>): Attempt => ({
	entry: 'e', startedAt: 100, endedAt: 200, result: 'answered', status: 200, outcome: 'completed', problem: undefined, requestId: 'r', version: undefined, text: '', ...fields,
});

const call = (kind: CallRecord['kind'], attempts: ReadonlyArray<Partial<Attempt>>): CallRecord => ({
	id: 'c', kind, content: 'content', method: 'POST', path: '/orders', idempotencyKey: 'k', model: 'kit', messages, maxTokens: 8, attempts: attempts.map(fields => attempt(fields)),
});

const run = (at: number): LogEntry => ({
	index: 0, at, event: 'run', bodyHash: 'content', method: 'POST', path: '/orders',
});

const rules = (evidence: Partial<Evidence>, entries: readonly LogEntry[] = []): readonly string[] => check({
	calls: [], interferences: [], plannedStops: [], revisions: [], edits: [], history: [], manifests: new Set([MANIFEST]), logs: [{name: 'orders', kind: 'service', entries}], ...evidence,
}).map(({rule}) => rule);

const refused: Partial<Attempt> = {result: 'refused', outcome: 'not-run', status: 503};
const service = JSON.stringify({method: 'POST', path: '/orders', bodyHash: 'content'});

describe('check of a soak run', () => {
	it('accepts a run in which nothing went wrong', () => {
		const calls = [call('chat', [{text, version: MANIFEST}]), call('order', [refused, {text: service, startedAt: 250, endedAt: 300}])];
		expect(rules({calls, revisions: [{process: 'e', at: 1, revision: 1}, {process: 'e', at: 2, revision: 2}]}, [run(260)])).to.deep.equal([]);
	});

	it('finds a whole answer that lacks its end and a part of another answer', () => {
		const partial = [{text: text.slice(0, -1), version: MANIFEST}];
		const crossed = [{
			text: 'v0', version: undefined, result: 'broken', outcome: undefined,
		} as const];
		expect(rules({calls: [call('chat', partial), call('chat', crossed)]}, [run(1)])).to.deep.equal(['crossed-or-partial-answer', 'crossed-or-partial-answer']);
	});

	it('finds an answer to an order that belongs to another', () => {
		expect(rules({calls: [call('order', [{text: service.replace('content', 'other')}])]}, [run(150)])).to.deep.equal(['crossed-or-partial-answer']);
	});

	it('finds a call reported as not run that ran, also when it runs later', () => {
		expect(rules({calls: [call('order', [refused])]}, [run(900)])).to.deep.equal(['false-not-run']);
		expect(rules({calls: [call('order', [refused, {text: service, startedAt: 250}])]}, [run(150)])).to.deep.equal(['false-not-run']);
	});

	it('finds an order that ran twice, and one reported as completed that never ran', () => {
		expect(rules({calls: [call('order', [{text: service}])]}, [run(150), run(160)])).to.deep.equal(['run-twice']);
		expect(rules({calls: [call('order', [{text: service}])]})).to.deep.equal(['false-completed']);
	});

	it('finds versions that the origin does not serve', () => {
		const entries = [{
			index: 0, at: 1, event: 'activate', manifest: 'b'.repeat(64),
		}];
		expect(rules({}, entries)).to.deep.equal(['unverified-version']);
	});

	it('finds a revision that went back across a restart', () => {
		expect(rules({revisions: [{process: 'e', at: 1, revision: 2}, {process: 'e', at: 2, revision: 0}, {process: 'e', at: 3, revision: 1}]})).to.deep.equal(['revision-reverted']);
	});

	it('reports a process that counted a broken invariant of its own, once', () => {
		const broken = {process: 'e', revision: 1, brokenInvariants: 1};
		expect(rules({revisions: [{...broken, at: 1}, {...broken, at: 2}]})).to.deep.equal(['invariant-broken']);
	});

	it('finds edits that were lost, made twice, or made although they were refused', () => {
		const edits = [
			{editId: 'a', result: 'accepted', reason: undefined}, {editId: 'b', result: 'refused', reason: 'conflict'}, {editId: 'c', result: 'unknown', reason: undefined},
		] as const;
		expect(rules({edits, history: ['a', 'c']})).to.deep.equal([]);
		expect(rules({edits, history: ['b', 'c', 'c']})).to.have.members(['edit-lost', 'refused-edit-applied', 'edit-duplicated']);
	});

	it('holds a planned stop responsible for what it cut only when nothing else was wrong', () => {
		const calls = [call('chat', [{
			result: 'broken', outcome: 'unknown', text: '', startedAt: 140,
		}])];
		const plannedStops = [{
			target: 'e', startedAt: 150, endedAt: 300, exitCode: 0,
		}];
		const interferences = [{
			kind: 'kill', target: 'x', startedAt: 100, endedAt: 160,
		}];
		expect(rules({calls, plannedStops})).to.deep.equal(['cut-by-planned-stop']);
		expect(rules({calls, plannedStops, interferences})).to.deep.equal([]);
	});
});
