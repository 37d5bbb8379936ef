#!/usr/bin/env node
/** Starts an entry or an agent on the users' platform. All other settings come from the settings file that the platform writes. */
import process from 'node:process';

// Without a handler, SIGHUP would end the process while its modules load. It can be ignored until then, because the settings are read afterwards.
process.on('SIGHUP', () => undefined);

const {describeError, CONFIGURATION_EXIT_CODE: EXIT_CONFIGURATION} = await import('@yuccawood/common');

const ROLES: Readonly<Record<string, () => Promise<void>>> = {
	async entry() {
		const {runEntry} = await import('./entry-node.js');
		await runEntry();
	},
	async agent() {
		const {runAgent} = await import('./agent-node.js');
		await runAgent();
	},
};

const run = ROLES[process.argv[2] ?? ''];
if (run) {
	try {
		await run();
	} catch (error) {
		process.stderr.write(`yuccawood-node: ${describeError(error)}\n`);
		process.exit(EXIT_CONFIGURATION);
	}
} else {
	process.stderr.write(`Unknown role "${process.argv[2] ?? ''}". Pass "entry" or "agent" as the first argument.\n`);
	process.exitCode = EXIT_CONFIGURATION;
}
