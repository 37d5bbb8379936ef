#!/usr/bin/env node
/** Runs an entry or an agent on the users' platform. The settings file that the platform writes tells the rest. */
import process from 'node:process';
import {describeError, EXIT_CONFIGURATION} from '@yuccawood/common';
import {runAgent} from './agent-node.js';
import {runEntry} from './entry-node.js';

const ROLES: Readonly<Record<string, () => Promise<void>>> = {entry: runEntry, agent: runAgent};

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
