#!/usr/bin/env node
/** The daemon `yuccawoodd`: runs an entry or an agent, as set by `role` in its settings file. */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {Command} from 'commander';
import {describeError, CONFIGURATION_EXIT_CODE, formatIniFault} from '@yuccawood/common';
import {drainOnSignals} from '@yuccawood/lifecycle';
import {checkSettings} from './check-settings.js';
import {AgentProcess} from './agent-process.js';
import {EntryProcess} from './entry-process.js';
import type {Settings} from './types.js';

const loadSettings = async (file: string): Promise<Settings | undefined> => {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		process.stderr.write(`${file}: cannot be read: ${describeError(error)}. Check the path given with --settings.\n`);
		return undefined;
	}

	const result = checkSettings(text);
	if (result.ok) {
		return result.val;
	}

	for (const fault of result.val) {
		process.stderr.write(`${formatIniFault(file, fault)}\n`);
	}

	return undefined;
};

const run = async ({settings: file, check}: {readonly settings: string; readonly check?: boolean}): Promise<number> => {
	const settings = await loadSettings(file);
	if (!settings) {
		return CONFIGURATION_EXIT_CODE;
	}

	if (check) {
		process.stdout.write(`${file}: no faults.\n`);
		return 0;
	}

	const daemon = settings.role === 'entry' ? new EntryProcess(settings) : new AgentProcess(settings);
	drainOnSignals({lifecycle: {drain: daemon.node.leave}, source: process});
	await daemon.start();
	await daemon.stopped;
	return 0;
};

const program = new Command('yuccawoodd')
	.description('Daemon of yuccawood: an entry behind the balancer or an agent beside an upstream.')
	.requiredOption('--settings <file>', 'INI settings of the process')
	.option('--check', 'check the settings and exit')
	.action(async (options: {readonly settings: string; readonly check?: boolean}) => {
		try {
			process.exit(await run(options));
		} catch (error) {
			process.stderr.write(`yuccawoodd: ${describeError(error)}\n`);
			process.exit(1);
		}
	});
await program.parseAsync();
