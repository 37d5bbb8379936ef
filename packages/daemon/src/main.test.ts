import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

const PROGRAM = fileURLToPath(new URL('main.js', import.meta.url));

const run = async (...args: readonly string[]): Promise<{readonly exitCode: number; readonly stderr: string}> => new Promise(resolve => {
	const child = execFile(process.execPath, [PROGRAM, ...args], (_error, _output, stderr) => {
		resolve({exitCode: child.exitCode ?? -1, stderr});
	});
});

describe('yuccawoodd', () => {
	let directory: string;

	before(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawoodd-'));
	});

	after(async () => {
		await rm(directory, {recursive: true});
	});

	it('runs as compiled, and refuses a faulty file with the file and line of every fault', async () => {
		const file = path.join(directory, 'entry.ini');
		await writeFile(file, '[process]\nrole = entry\nid = entry-1\nregion = western\n[peer]\nlisten = nowhere\ncolour = red\n');
		const {exitCode, stderr} = await run('--settings', file);
		expect(exitCode).to.equal(78);
		expect(stderr).to.include(`${file}:6: [peer] listen`);
		expect(stderr).to.include(`${file}:7: [peer] colour`);
		expect(stderr).to.include('[process] failure_domain is missing');
		expect(stderr).to.include('[entry] listen is missing');
	});

	it('says what to do if the settings file does not exist', async () => {
		const {exitCode, stderr} = await run('--settings', path.join(directory, 'absent.ini'));
		expect(exitCode).to.equal(78);
		expect(stderr).to.include('Check the path given with --settings');
	});
});
