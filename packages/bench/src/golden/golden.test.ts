import {readFile} from 'node:fs/promises';
import {expect} from 'chai';
import {goldenFile} from './golden-files.js';
import {runSession} from './run-session.js';
import {SESSIONS} from './sessions.js';

const SESSION_TIMEOUT_MS = 30_000;

describe('Golden sessions', () => {
	for (const session of SESSIONS) {
		it(`${session.name}: messages and decisions are those of the committed transcript`, async function () {
			this.timeout(SESSION_TIMEOUT_MS);
			const expected = await readFile(goldenFile(session.name), 'utf8');
			const actual = await runSession(session);
			expect(actual.split('\n')).to.deep.equal(expected.split('\n'));
		});
	}
});
