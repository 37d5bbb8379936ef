#!/usr/bin/env node
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {StoreClient} from '@yuccawood/platform';
import {runProgram} from './program.js';

const STORE_TIMEOUT_MS = 5000;

process.exitCode = await runProgram(process.argv.slice(2), {
	write(text) {
		process.stdout.write(text);
	},
	writeError(text) {
		process.stderr.write(text);
	},
	readFile: async path => readFile(path, 'utf8'),
	async readStore(address, key) {
		const store = new StoreClient({address, timeoutMs: STORE_TIMEOUT_MS, watchSlackMs: STORE_TIMEOUT_MS});
		try {
			const snapshot = await store.snapshot(key);
			return snapshot.unwrap().items.find(item => item.key === key)?.value;
		} finally {
			await store.close();
		}
	},
});
