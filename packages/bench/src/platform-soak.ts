/** `npm run platform-soak -- --seed S --seconds T`: a randomised run of entries and agents against stand-ins of the platform. */
import {appendFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {Command} from 'commander';
import {runPlatformSoak} from './platform-soak/run-platform-soak.js';
import {USUAL_SIZE} from './platform-soak/soak-fleet.js';

type Options = Readonly<Record<'seed' | 'seconds' | 'entries' | 'engines' | 'plain', string>> & {
	readonly logs?: string;
	readonly deadlyPart?: boolean;
	readonly restarts?: boolean;
	readonly silences?: boolean;
	readonly standstills?: boolean;
};

const program = new Command('platform-soak')
	.description('Runs entries and agents as separate processes on stand-ins of the platform, injects faults drawn from the seed, and checks every answer.')
	.option('--seed <text>', 'seed of the faults and the callers', String(Date.now()))
	.option('--seconds <number>', 'time during which faults are injected', '30')
	.option('--entries <number>', 'entries', String(USUAL_SIZE.entries))
	.option('--engines <number>', 'model engines, each with an agent', String(USUAL_SIZE.engines))
	.option('--plain <number>', 'plain upstreams', String(USUAL_SIZE.plain))
	.option('--deadly-part', 'lets a part of prompts crash engines')
	.option('--restarts', 'restarts entries under full load instead of the usual faults')
	.option('--silences', 'lets open connections to the store go silent instead of the usual faults')
	.option('--standstills', 'lets paths to upstreams stand still, and stops all entries while none hears the others, instead of the usual faults')
	.option('--logs <directory>', 'existing directory to which the output of each process is appended')
	.action(async ({seed, seconds, entries, engines, plain, logs, deadlyPart, restarts, silences, standstills}: Options) => {
		const startedAt = performance.now();
		process.stderr.write(`Seed ${seed}.\n`);
		const {breaches, ...counts} = await runPlatformSoak({
			seed, hasDeadlyPart: deadlyPart, hasRestarts: restarts, hasSilences: silences, hasStandstills: standstills, seconds: Number(seconds), size: {entries: Number(entries), engines: Number(engines), plain: Number(plain)},
			onOutput: logs === undefined
				? undefined
				: (vm, text) => {
					appendFileSync(path.join(logs, `${vm}.log`), text);
				},
			progress(line) {
				process.stderr.write(`${((performance.now() - startedAt) / 1000).toFixed(1)} s  ${line}\n`);
			},
		});
		for (const {at, promise, detail} of breaches) {
			process.stdout.write(`${at} s  ${promise}: ${detail}\n`);
		}

		process.stdout.write(`${JSON.stringify({seed, ...counts, breaches: breaches.length})}\n`);
		process.exitCode = breaches.length > 0 ? 1 : 0;
	});
await program.parseAsync();
