/** The baseline: every replica reads the whole version from the origin. */
import {fileURLToPath} from 'node:url';
import {PeerClient} from '@yuccawood/common';
import {Child, programOf, waitUntil} from '../fleet/child.js';
import type {RolloutPlan} from './types.js';
import {manifestHash, weightsText} from './weights-text.js';

const SCRIPT = fileURLToPath(new URL('baseline-replica.js', import.meta.url));
const LIMIT_MS = 240_000;

const addressOf = async (child: Child): Promise<string> => {
	let line: string | undefined;
	await waitUntil(() => {
		line = child.lines.find(text => text.includes('"address"'));
		return line !== undefined;
	}, {subject: `${child.name} to listen`, limitMs: 60_000});
	return (JSON.parse(line!) as {readonly address: string}).address;
};

/** @returns the time until the last replica was active, in seconds. */
export const runBaseline = async (plan: RolloutPlan): Promise<number> => {
	const {replicas, linkBytesPerSecond} = plan;
	const children: Child[] = [];
	const start = (name: string, script: string, args: readonly string[]): Child => {
		const child = new Child({name, script, args});
		children.push(child);
		return child;
	};

	const peers = new PeerClient();
	try {
		const origin = await addressOf(start('origin', programOf('stand-ins'), ['origin', '--link-bytes-per-second', String(2 * linkBytesPerSecond), '--weights', weightsText('v2', plan)]));
		const manifest = manifestHash('v2', plan);
		const started = Array.from({length: replicas}, (_, index) => start(`replica-${index}`, SCRIPT, [
			'--id', `replica-${index}`, '--origin', origin, '--manifest', manifest, '--link', String(linkBytesPerSecond),
		]));
		const addresses = await Promise.all(started.map(async child => addressOf(child)));
		const startedAt = Date.now();
		const activeAt = await Promise.all(addresses.map(async address => peers.call<number>(address, 'baseline.start', {}, {timeoutMs: LIMIT_MS})));
		return (Math.max(...activeAt) - startedAt) / 1000;
	} finally {
		await peers.close();
		await Promise.all(children.map(async child => child.kill()));
	}
};
