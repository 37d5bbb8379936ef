import {expect} from 'chai';
import {readSectionInput, renderDocument, splitDocument} from './document.js';
import {parseConfiguration} from './parse-configuration.js';
import {DOCUMENT, hash} from './support.test.js';

describe('parseConfiguration', () => {
	describe('with a valid document', () => {
		it('fills in the defaults', () => {
			const {configuration, faults} = parseConfiguration(DOCUMENT);
			expect(faults).to.deep.equal([]);
			expect(configuration).to.deep.equal({
				models: [{
					name: 'kit-assistant', kind: 'model', version: 'v1', manifest: 'a'.repeat(64), maxSwitchingShare: 0.25,
				}],
				routes: [{
					name: 'chat', path: '/v1/chat/completions', target: {kind: 'model', models: ['kit-assistant']},
					repeatableMethods: ['GET', 'HEAD', 'POST'], deadlineMs: 60_000, maxBodyBytes: 1_048_576,
				}],
				accounts: [{
					name: 'matara', key: 'b'.repeat(64), requestsPerSecond: 50, concurrent: 20, priority: 5,
				}],
				vms: [],
				rollout: {balance: 0.5},
			});
		});

		it('lets only GET and HEAD requests to a plain service be retried by default', () => {
			const {configuration} = parseConfiguration(`${DOCUMENT}\n[route.orders]\npath = /orders\nkind = service\nservice = orders\n`);
			expect(configuration?.routes[1].repeatableMethods).to.deep.equal(['GET', 'HEAD']);
		});
	});

	describe('with faults', () => {
		it('reports the faults of all sections at once, with line, value and remedy', () => {
			const text = `${DOCUMENT}
[adapter.tone]
version = v1
manifest = sha256:1234
base = gone
[route.second]
path = /v1/chat/completions
kind = model
models = kit-assistant, other
service = orders
[account.copy]
key = ${hash('b')}
requests_per_second = -1
concurrent = 2
priority = 12
[pool.x]
size = 3
`;
			const {configuration, faults} = parseConfiguration(text);
			expect(configuration).to.equal(undefined);
			expect(faults.map(({section, key}) => `${section} ${key ?? ''}`.trim())).to.have.members([
				'adapter.tone manifest',
				'adapter.tone base',
				'route.second path',
				'route.second models',
				'route.second service',
				'account.copy key',
				'account.copy requests_per_second',
				'account.copy priority',
				'pool.x',
				'pool.x',
			]);
			const lines = text.split('\n');
			for (const {line, key, value, remedy} of faults.filter(fault => fault.key !== undefined)) {
				expect(lines[line - 1]).to.equal(`${key} = ${value}`);
				expect(remedy).not.to.equal('');
			}
		});

		it('reports a section without an owner, because nobody could edit it', () => {
			const {faults} = parseConfiguration(DOCUMENT.replace('account.* = accounts\n', ''));
			expect(faults.map(({section, detail}) => ({section, detail}))).to.deep.equal([{section: 'account.matara', detail: 'has no owner'}]);
		});

		it('reports a missing [owners] and a document without any section', () => {
			expect(parseConfiguration('').faults.map(({section}) => section)).to.deep.equal(['owners']);
		});
	});
});

describe('splitDocument', () => {
	it('keeps all lines, and comments with the section below them', () => {
		const text = '; whole file\n[owners]\n* = ops\n\n; about the model\n[model.a]\nversion = v1\n';
		expect(splitDocument(text)).to.deep.equal({owners: '; whole file\n* = ops', 'model.a': '; about the model\nversion = v1'});
	});

	it('gives the same document when rendered and split again', () => {
		const split = splitDocument(DOCUMENT);
		const sections = Object.fromEntries(Object.entries(split).map(([name, text]) => [name, {text, revision: 1}]));
		expect(splitDocument(renderDocument(sections))).to.deep.equal(split);
	});
});

describe('readSectionInput', () => {
	it('reports a section of another team in the text as a fault', () => {
		const {faults} = readSectionInput('rollout', '[rollout]\nbalance = 1\n[account.matara]\nconcurrent = 9\n');
		expect(faults.map(({line, value}) => ({line, value}))).to.deep.equal([{line: 3, value: '[account.matara]'}]);
	});
});
