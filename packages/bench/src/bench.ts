/** `npm run bench -- NAME [options] [--json]`: runs one measurement; `--list` names them. */
import process from 'node:process';
import {Command} from 'commander';
import {BENCHMARKS} from './benchmarks.js';
import type {Benchmark} from './types.js';

const addBenchmark = (program: Command, benchmark: Benchmark): void => {
	const command = program.command(benchmark.name).description(benchmark.description).option('--json', 'print one JSON object on the last line');
	for (const option of benchmark.options) {
		command.option(option.flags, option.description, option.default);
	}

	command.action(async (values: Readonly<Record<string, string | boolean>>) => {
		const progress = (line: string): void => {
			process.stderr.write(`${line}\n`);
		};

		const fields = await benchmark.run(values, progress);
		process.stdout.write(values.json ? `${JSON.stringify(fields)}\n` : `${JSON.stringify(fields, undefined, 2)}\n`);
	});
};

const program = new Command('bench').description('Measurements of yuccawood on small stand-ins.').option('--list', 'name the measurements');
program.action((values: {readonly list?: boolean}) => {
	if (!values.list) {
		program.help({error: true});
	}

	for (const {name, description} of BENCHMARKS) {
		process.stdout.write(`${name}\t${description}\n`);
	}
});
for (const benchmark of BENCHMARKS) {
	addBenchmark(program, benchmark);
}

await program.parseAsync();
