import {expect} from 'chai';
import {validateSection, parseIni} from './index.js';

describe('parseIni', () => {
	describe('with well-formed text', () => {
		it('keeps the line number of every section and key', () => {
			const {sections, faults} = parseIni('[process]\n; comment\nid = a\n\n[model.kit-1]\nversion = "v1"\n');
			expect(faults).to.deep.equal([]);
			expect(sections.map(({name, line}) => ({name, line}))).to.deep.equal([{name: 'process', line: 1}, {name: 'model.kit-1', line: 5}]);
			expect(sections[1].entries).to.deep.equal([{key: 'version', value: 'v1', line: 6}]);
		});
	});

	describe('with faults', () => {
		it('reports all faults instead of stopping at the first', () => {
			const {faults} = parseIni('stray\n[a]\nx = 1\nx = 2\nnonsense\n[a]\n');
			expect(faults.map(({line}) => line)).to.deep.equal([1, 4, 5, 6]);
		});
	});
});

describe('checkSection', () => {
	it('reports unknown, missing and out-of-range keys together', () => {
		const [section] = parseIni('[limits]\nrate = -1\nspeed = 3\n').sections;
		const {faults} = validateSection(section, {
			rate: {type: 'integer', description: 'Rate.', minimum: 0},
			name: {type: 'text', description: 'Name.', required: true},
		});
		expect(faults.map(({key}) => key)).to.have.members(['rate', 'speed', 'name']);
	});
});
