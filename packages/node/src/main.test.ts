import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {CONFIGURATION_EXIT_CODE} from '@yuccawood/common';
import {settingsEnvironment} from '@yuccawood/platform/testing';
import {expect} from 'chai';

const MAIN = fileURLToPath(new URL('main.js', import.meta.url));

const inUrl = (script: string): string => `data:text/javascript,${encodeURIComponent(script)}`;

/** Module loader hook that sends SIGHUP to the process when the modules of a role begin to load. */
const RESOLVER = inUrl(`export const resolve = (specifier, context, next) => {
	if (specifier.includes('agent-node')) {
		process.kill(process.pid, 'SIGHUP');
	}

	return next(specifier, context);
};`);

describe('main', () => {
	it('survives a SIGHUP that arrives while its modules load', async () => {
		const env = {...process.env, ...settingsEnvironment('missing.conf')};
		const child = spawn(process.execPath, ['--import', inUrl(`import {register} from 'node:module'; register(${JSON.stringify(RESOLVER)});`), MAIN, 'agent'], {env});
		const [code, signal] = await once(child, 'exit') as [number | undefined, string | undefined];
		expect(`code ${code}, signal ${signal}`).to.equal(`code ${CONFIGURATION_EXIT_CODE}, signal null`);
	});
});
