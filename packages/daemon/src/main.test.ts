import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {expect} from 'chai';

const PROGRAM = fileURLToPath(new URL('main.js', import.meta.url));

const run = async (...args: readonly string[]): Promise<{readonly exitCode: number; readonly errors: string}> => new Promise(resolve => {
	const child = execFile(process.execPath, [PROGRAM, ...args], (_error, _output, errors) => {
		resolve({exitCode: child.exitCode ?? -1, errors});
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

	it('runs as compiled and refuses a broken file as a whole, naming file and lines, so that nothing starts half configured', async () => {
		const file = path.join(directory, 'entry.ini');
		await writeFile(file, '[process]\nrole = entry\nid = entry-1\nregion = western\n[peer]\nlisten = nowhere\ncolour = red\n');
		const {exitCode, errors} = await run('--settings', file);
		expect(exitCode).to.equal(78);
		expect(errors).to.include(`${file}:6: [peer] listen`);
		expect(errors).to.include(`${file}:7: [peer] colour`);
		expect(errors).to.include('[process] failure_domain is missing');
		expect(errors).to.include('[entry] listen is missing');
	});

	it('names the remedy when the settings file does not exist', async () => {
		const {exitCode, errors} = await run('--settings', path.join(directory, 'absent.ini'));
		expect(exitCode).to.equal(78);
		expect(errors).to.include('Check the path given with --settings');
	});
});
