#!/usr/bin/env node
/** Runs an entry or an agent on the users' platform. The settings file that the platform writes tells the rest. */
import process from 'node:process';

// A signal to read the settings again must not end a process whose modules still load: it reads them after that anyway.
process.on('SIGHUP', () => undefined);

const {describeError, EXIT_CONFIGURATION} = await import('@yuccawood/common');

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
	process.stderr.write(`Unknown role "${process.argv[2] ?? ''}". Give "entry" or "agent".\n`);
	process.exitCode = EXIT_CONFIGURATION;
}
