/** Sizes and contents of the system under a soak run. */
import {sha256} from '@yuccawood/common';
import {createWeights} from '@yuccawood/stand-ins';
import {documentText} from '../fleet/document.js';

export type SoakSize = 'small' | 'normal';

type VmPlan = {readonly id: string; readonly region: string; readonly checksFencing?: boolean};

export type SoakPlan = {
	readonly entries: readonly VmPlan[];
	readonly engines: readonly VmPlan[];
	readonly services: readonly VmPlan[];
	readonly callers: number;
	readonly sizeBytes: number;
	readonly chunkBytes: number;
	readonly linkBytesPerSecond: number;
};

export const MODEL = 'kit-assistant';
export const SERVICE = 'orders';
export const STORE_REGION = 'western';
export const ACCOUNT_KEYS = ['key-of-matara', 'key-of-galle'] as const;

/** Versions that the origin serves. A run takes them in turn. */
const VERSION_COUNT = 12;

const place = (prefix: string, regions: readonly string[]): readonly VmPlan[] => regions.map((region, index) => ({id: `${prefix}-${index + 1}`, region}));

/** The last engine ignores fencing numbers, so that both kinds of deployment are covered. */
const engines = (regions: readonly string[]): readonly VmPlan[] => place('engine', regions).map((vm, index) => ({...vm, checksFencing: index < regions.length - 1}));

export const PLANS: Readonly<Record<SoakSize, SoakPlan>> = {
	small: {
		entries: place('entry', ['western', 'northern']),
		engines: engines(['western', 'western', 'northern']),
		services: place('orders', ['western', 'northern']),
		callers: 20,
		sizeBytes: 400_000,
		chunkBytes: 50_000,
		linkBytesPerSecond: 4_000_000,
	},
	normal: {
		entries: place('entry', ['western', 'northern', 'southern']),
		engines: engines(['western', 'western', 'western', 'northern', 'northern', 'southern']),
		services: place('orders', ['western', 'northern', 'southern']),
		callers: 40,
		sizeBytes: 4_000_000,
		chunkBytes: 250_000,
		linkBytesPerSecond: 8_000_000,
	},
};

export type SoakVersion = {readonly version: string; readonly manifest: string; readonly argument: string};

/** Versions with their manifest hashes and the arguments that make the origin serve them. */
export const versionsOf = (seed: string, {sizeBytes, chunkBytes}: SoakPlan): readonly SoakVersion[] => Array.from({length: VERSION_COUNT}, (_, index) => {
	const version = `v${index + 1}`;
	const {hash} = createWeights({
		seed, name: MODEL, version, sizeBytes, chunkBytes, sharedChunks: 2,
	});
	return {version, manifest: hash, argument: [seed, MODEL, version, 'model', sizeBytes, chunkBytes, '', 2].join(':')};
});

/** Body of the route to the plain service. */
export const routeSection = (deadlineMs: number): string =>
	`path = /orders\nkind = service\nservice = ${SERVICE}\nrepeatable_methods = GET, HEAD\ndeadline_ms = ${deadlineMs}\n`;

const accounts = ACCOUNT_KEYS.map((key, index) =>
	`[account.caller-${index + 1}]\nkey = sha256:${sha256(key)}\nrequests_per_second = 2000\nconcurrent = 500\npriority = 5\n`).join('\n');

/** The whole document at the start of a run. */
export const firstDocument = ({version, manifest}: SoakVersion): string => documentText({model: {name: MODEL, version, manifest}, accounts});
