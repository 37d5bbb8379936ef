#!/usr/bin/env node
/** Runs an entry or an agent on the users' platform. The settings file that the platform writes tells the rest. */
import process from 'node:process';
import {EXIT_CONFIGURATION} from '@yuccawood/common';
import {runAgent} from './agent-node.js';
import {runEntry} from './entry-node.js';

const role = process.argv[2];
switch (role) {
	case 'entry': {
		await runEntry();
		break;
	}

	case 'agent': {
		await runAgent();
		break;
	}

	default: {
		process.stderr.write(`Unknown role "${role ?? ''}". Give "entry" or "agent".\n`);
		process.exitCode = EXIT_CONFIGURATION;
	}
}
