/** Runs one case: starts its parts, writes `record.txt`, ends all processes, and exits with 0 (held), 1 (broken) or 2 (could not run). */
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const LIMIT_MS = 110_000;

export class CaseError extends Error {}

/**
@param folder folder of the case
@param run gets `{isTroubled, note, own}`; resolves to the list of what broke the rule. `own` registers something to close.
*/
export const runCase = async (folder, run) => {
	const startedAt = Date.now();
	const lines = [];
	const owned = [];
	const note = (text, at = Date.now()) => {
		lines.push({at, text});
	};

	const write = () => {
		const sorted = lines.toSorted((a, b) => a.at - b.at);
		writeFileSync(path.join(folder, 'record.txt'), sorted.map(({at, text}) => `${((at - startedAt) / 1000).toFixed(3).padStart(8)} ${text}\n`).join(''));
	};

	const closeAll = async () => {
		for (const item of owned.toReversed()) {
			await item.close();
		}
	};

	const end = async code => {
		await closeAll();
		write();
		process.stdout.write(`${lines.at(-1).text}\n`);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	const isTroubled = process.env.TROUBLE !== '0';
	let code = 2;
	const timer = setTimeout(() => {
		note('The case took too long.');
		end(2);
	}, LIMIT_MS);
	try {
		note(isTroubled ? 'The case runs with its disruption.' : 'The case runs without its disruption.');
		const broken = await run({
			isTroubled, note, own(item) {
				owned.push(item);
				return item;
			},
		});
		for (const text of broken) {
			note(`BROKEN: ${text}`);
		}

		note(broken.length > 0 ? 'The rule was broken.' : 'The rule held.');
		code = broken.length > 0 ? 1 : 0;
	} catch (error) {
		note(`The case could not run: ${error instanceof CaseError ? error.message : error.stack}`);
	} finally {
		clearTimeout(timer);
	}

	await end(code);
};

export const route = ({name, host, prefix, service, kind = 'non_idempotent', ...more}) => ({
	name, host, prefix, kind, timeoutMs: 2000, goalMs: 300, priority: 2, service, attempts: kind === 'non_idempotent' ? 1 : 2, anonymous: false, sticky: false, ...more,
});

export const plainService = name => ({
	name, healthPath: '/health', maxConns: 110, protocol: 'h1', tls: false,
});

export const LIMITS = {
	headerBytes: 16_384, bodyBytes: 4_194_304, headerMs: 3000, idleMs: 15_000,
};
