#!/usr/bin/env node
/** The operators' command line `yuccawood`. */
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {HttpKeyValueService} from '@yuccawood/interfaces';
import {runProgram} from './program.js';

const services: HttpKeyValueService[] = [];

process.exitCode = await runProgram(process.argv.slice(2), {
	terminal: {
		write(output) {
			process.stdout.write(output);
		},
		writeError(output) {
			process.stderr.write(output);
		},
		isInteractive: process.stderr.isTTY,
		readInput: async () => process.stdin.isTTY ? undefined : text(process.stdin),
		editor: process.env.VISUAL ?? process.env.EDITOR,
	},
	openKeyValue(address) {
		const service = new HttpKeyValueService({address});
		services.push(service);
		return service;
	},
});
await Promise.all(services.map(async service => service.close()));
