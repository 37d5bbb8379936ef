/** `npm run platform-soak -- --seed S --seconds T`: a randomised run of entries and agents against stand-ins of the platform. */
import process from 'node:process';
import {Command} from 'commander';
import {runPlatformSoak} from './platform-soak/run-platform-soak.js';

const program = new Command('platform-soak')
	.description('Runs entries and agents as separate processes on stand-ins of the platform, injects faults drawn from the seed, and checks every answer.')
	.option('--seed <text>', 'seed of the faults and the callers', String(Date.now()))
	.option('--seconds <number>', 'time during which faults are injected', '30')
	.action(async ({seed, seconds}: {readonly seed: string; readonly seconds: string}) => {
		const startedAt = performance.now();
		process.stderr.write(`Seed ${seed}.\n`);
		const {breaches, ...counts} = await runPlatformSoak({
			seed, seconds: Number(seconds),
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
