/** `npm run soak -- --seed S --seconds T [--size small|normal]`: a randomised run of the whole system under faults. */
import process from 'node:process';
import {Command, Option} from 'commander';
import type {Violation} from './soak/evidence.js';
import type {SoakSize} from './soak/plan.js';
import {runSoak} from './soak/run-soak.js';

const shortest = (violations: readonly Violation[]): Violation => violations.toSorted((a, b) => a.trace.length - b.trace.length)[0];

const main = async ({seed, seconds, size}: {readonly seed: string; readonly seconds: string; readonly size: SoakSize}): Promise<void> => {
	process.stderr.write(`Seed ${seed}.\n`);
	const startedAt = performance.now();
	const result = await runSoak({
		seed, seconds: Number(seconds), size,
		progress(line) {
			process.stderr.write(`${((performance.now() - startedAt) / 1000).toFixed(1)} s  ${line}\n`);
		},
	});
	const {violations, ...fields} = result;
	if (violations.length > 0) {
		const {rule, detail, trace} = shortest(violations);
		process.stdout.write(`Violation of ${rule}: ${detail}\n${trace.map(line => `  ${line}\n`).join('')}`);
		process.exitCode = 1;
	}

	const byRule: Record<string, number> = {};
	for (const {rule} of violations) {
		byRule[rule] = (byRule[rule] ?? 0) + 1;
	}

	process.stdout.write(`${JSON.stringify({...fields, violations: violations.length, violationsByRule: byRule})}\n`);
};

const program = new Command('soak')
	.description('Runs the whole system as separate processes on stand-ins, injects faults drawn from the seed, and checks every answer.')
	.option('--seed <text>', 'seed of the faults and the callers', String(Date.now()))
	.option('--seconds <number>', 'time during which faults are injected', '60')
	.addOption(new Option('--size <name>', 'size of the system').choices(['small', 'normal']).default('small'))
	.action(main);
await program.parseAsync();
