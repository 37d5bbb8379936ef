import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {PeerServer} from '@yuccawood/common';
import {HttpKeyValueService} from '@yuccawood/interfaces';
import {KeyValueStandIn} from '@yuccawood/stand-ins';
import {EXIT_CODES, runProgram} from './index.js';

const HASH = `sha256:${'a'.repeat(64)}`;
const DOCUMENT = `[owners]
model.* = models
rollout = models
vm.* = platform

[model.kit]
version = v1
manifest = ${HASH}
`;

describe('yuccawood', () => {
	let standIn: KeyValueStandIn;
	let address: string;
	let directory: string;
	let output = '';
	let errors = '';
	let standardInput: string | undefined;
	let editor: string | undefined;

	const run = async (...args: readonly string[]): Promise<number> => {
		const services: HttpKeyValueService[] = [];
		output = '';
		errors = '';
		const exitCode = await runProgram([...args, '--key-value', address, '--author', 'ann'], {
			terminal: {
				write(text) {
					output += text;
				},
				writeError(text) {
					errors += text;
				},
				isInteractive: false,
				readInput: async () => standardInput,
				editor,
			},
			openKeyValue(target) {
				const service = new HttpKeyValueService({address: target, timeoutMs: 300});
				services.push(service);
				return service;
			},
		});
		await Promise.all(services.map(async service => service.close()));
		return exitCode;
	};

	const file = async (name: string, text: string): Promise<string> => {
		const target = path.join(directory, name);
		await writeFile(target, text);
		return target;
	};

	beforeEach(async () => {
		standIn = new KeyValueStandIn();
		address = await standIn.listen();
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-'));
		standardInput = undefined;
		editor = undefined;
		expect(await run('init', await file('first.ini', DOCUMENT), '--team', 'platform')).to.equal(EXIT_CODES.done);
	});

	afterEach(async () => {
		await standIn.close();
		await rm(directory, {recursive: true});
	});

	it('exits with 3 and reports every fault with file and line when a document has faults', async () => {
		const target = await file('faulty.ini', `${DOCUMENT}[vm.a]\nrole = rest\n[rollout]\nbalance = 9\n`);
		expect(await run('check', target)).to.equal(EXIT_CODES.faults);
		expect(errors).to.contain(`${target}:10: [vm.a] role`).and.contain(`${target}:12: [rollout] balance`);
		expect(await run('check', await file('good.ini', DOCUMENT))).to.equal(EXIT_CODES.done);
	});

	it('reports faults of an edit with line numbers of the operator\'s file', async () => {
		const target = await file('section.ini', '; revision 0\n[rollout]\n\nbalance = 9\n');
		expect(await run('apply', target, '--section', 'rollout', '--team', 'models')).to.equal(EXIT_CODES.faults);
		expect(errors).to.contain(`${target}:4: [rollout] balance`);
	});

	it('exits with 4 and shows both texts when the section changed since it was read', async () => {
		expect(await run('get', 'model.kit')).to.equal(EXIT_CODES.done);
		const mine = await file('mine.ini', output.replace('v1', 'v2'));
		const theirs = await file('theirs.ini', output.replace('v1', 'v3'));
		expect(await run('apply', theirs, '--section', 'model.kit', '--team', 'models')).to.equal(EXIT_CODES.done);
		expect(await run('apply', mine, '--section', 'model.kit', '--team', 'models')).to.equal(EXIT_CODES.conflict);
		expect(errors).to.contain('version = v2').and.contain('version = v3');
	});

	it('exits with 5 for another team\'s section, 2 for an invalid command line, 1 when a document exists already', async () => {
		const target = await file('rollout.ini', 'balance = 1\n');
		expect(await run('apply', target, '--section', 'rollout', '--team', 'platform')).to.equal(EXIT_CODES.notOwner);
		expect(await run('apply', target, '--section', 'rollout')).to.equal(EXIT_CODES.usage);
		expect(await run('apply', target, '--team', 'models')).to.equal(EXIT_CODES.usage);
		expect(await run('init', target, '--team', 'models')).to.equal(EXIT_CODES.faults);
		expect(await run('init', await file('again.ini', DOCUMENT), '--team', 'models')).to.equal(EXIT_CODES.failure);
	});

	it('exits with 6 when the key-value service does not answer, and reports that the document could not be read', async () => {
		standIn.setFaults({outage: 'refused'});
		const target = await file('rollout.ini', 'balance = 1\n');
		expect(await run('apply', target, '--section', 'rollout', '--team', 'models', '--timeout', '0.5')).to.equal(EXIT_CODES.timeout);
		expect(errors).to.contain('could not be read');
	});

	it('exits with 78 and reports all faults of the settings file', async () => {
		const settings = await file('settings.ini', '[platform]\nkey_value = here\n[operator]\nname = x\n[other]\n');
		expect(await run('get', '--settings', settings)).to.equal(EXIT_CODES.settings);
		expect(errors).to.contain(`${settings}:2:`).and.contain(`${settings}:4:`).and.contain(`${settings}:5:`);
	});

	it('makes an edit exactly once when the response to its write is lost', async () => {
		standIn.setFaults({loseAnswers: 1});
		expect(await run('apply', await file('rollout.ini', 'balance = 1\n'), '--section', 'rollout', '--team', 'models', '--json')).to.equal(EXIT_CODES.done);
		expect(JSON.parse(output)).to.include({revision: 2, author: 'ann', section: 'rollout'});
		await run('history', '--json');
		expect((JSON.parse(output) as {edits: unknown[]}).edits).to.have.length(2);
	});

	it('edits from standard input and in an editor, prints a diff, and reverts as a new revision', async () => {
		standardInput = 'balance = 0.9\n';
		expect(await run('edit', 'rollout', '--team', 'models')).to.equal(EXIT_CODES.done);
		standardInput = '';
		expect(await run('edit', 'rollout', '--team', 'models')).to.equal(EXIT_CODES.usage);
		standardInput = undefined;
		editor = 'sed -i s/0.9/0.2/';
		expect(await run('edit', 'rollout', '--team', 'models')).to.equal(EXIT_CODES.done);
		editor = 'true';
		expect(await run('edit', 'rollout', '--team', 'models')).to.equal(EXIT_CODES.done);
		expect(output).to.contain('unchanged');
		expect(await run('diff', '--section', 'rollout', '--revision', '2')).to.equal(EXIT_CODES.done);
		expect(output).to.contain('-balance = 0.9').and.contain('+balance = 0.2');
		expect(await run('revert', '2', '--section', 'rollout', '--team', 'models')).to.equal(EXIT_CODES.done);
		expect(await run('get', 'rollout')).to.equal(EXIT_CODES.done);
		expect(output).to.equal('; revision 4\n[rollout]\nbalance = 0.9\n');
	});

	it('waits until all live members have the revision, and exits with 6 and the missing members on timeout', async () => {
		const peerServer = new PeerServer();
		const member = (id: string, revision: number, status = 'alive') => ({
			id, role: 'agent', region: 'western', status, revision,
		});
		let reports = 0;
		peerServer.method('status.report', () => {
			reports++;
			return {revision: 1, members: [member('a', 1), member('b', reports < 3 ? 0 : 1), member('gone', 0, 'leaving')]};
		});
		const peer = `127.0.0.1:${await peerServer.listen('127.0.0.1', 0)}`;
		try {
			expect(await run('status', '--wait', '--peer', peer)).to.equal(EXIT_CODES.done);
			expect(errors).to.contain('1 of 2').and.contain('missing: b').and.contain('2 of 2');
			expect(await run('status', '--wait', '--peer', peer, '--revision', '7', '--wait-seconds', '0.5')).to.equal(EXIT_CODES.timeout);
			expect(errors).to.contain('missing: a, b');
			standIn.setFaults({outage: 'refused'});
			expect(await run('status', '--peer', peer, '--timeout', '0.3')).to.equal(EXIT_CODES.done);
			expect(output).to.contain('Revision 1 is in force on 2 of 2 live members.');
		} finally {
			await peerServer.close();
		}
	});
});
