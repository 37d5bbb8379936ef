#!/usr/bin/env node
/** `npm run golden`: writes the transcripts of all sessions, or of those named, to the committed files. Read the difference before committing it. */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import {goldenFile} from './golden-files.js';
import {runSession} from './run-session.js';
import {SESSIONS} from './sessions.js';

const names = process.argv.slice(2);
const chosen = SESSIONS.filter(({name}) => names.length === 0 || names.includes(name));
for (const session of chosen) {
	const file = goldenFile(session.name);
	await mkdir(path.dirname(file), {recursive: true});
	await writeFile(file, await runSession(session));
	process.stdout.write(`Wrote ${path.basename(file)}.\n`);
}

process.exit(0);
