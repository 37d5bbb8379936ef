#!/usr/bin/env node
/** `npm run demo`: the main job on stand-ins, as separate processes. Exits with 1 if anything that must always hold did not. */
import process from 'node:process';
import {describeError, seededRandom} from '@yuccawood/common';
import {createWeights} from '@yuccawood/stand-ins';
import {Balancer} from './callers/balancer.js';
import {callChat} from './callers/chat-call.js';
import {checkRecords, type ServiceRun} from './callers/check-records.js';
import {Traffic} from './callers/traffic.js';
import {printTable, type DemoRow} from './demo/demo-table.js';
import {documentText, modelSection} from './fleet/document.js';
import {Fleet} from './fleet/fleet.js';
import {readBytesServed, readLog} from './fleet/stand-in-control.js';
import {waitUntil, type Child} from './fleet/child.js';

const MODEL = 'kit-assistant';
const WEIGHT_BYTES = 64 * 1024 * 1024;
const CHUNK_BYTES = 512 * 1024;
const ENGINES = 3;
const ORIGIN_BYTES_PER_SECOND = 64 * 1024 * 1024;
const LINK_BYTES_PER_SECOND = 32 * 1024 * 1024;
const RUN_LIMIT_MS = 58_000;

const weightsText = (version: string): string => `demo-${version}:${MODEL}:${version}:model:${WEIGHT_BYTES}:${CHUNK_BYTES}`;

const manifestOf = (version: string): string => createWeights({
	seed: `demo-${version}`, name: MODEL, version, kind: 'model', sizeBytes: WEIGHT_BYTES, chunkBytes: CHUNK_BYTES,
}).hash;

const say = (text: string): void => {
	process.stdout.write(`${text}\n`);
};

const seconds = (since: number): string => `${((performance.now() - since) / 1000).toFixed(1)} s`;

class Demo {
	readonly rows: DemoRow[] = [];
	readonly #fleet = new Fleet({
		weights: [weightsText('v1'), weightsText('v2')], originLinkBytesPerSecond: ORIGIN_BYTES_PER_SECOND,
	});

	readonly #manifests = {v1: manifestOf('v1'), v2: manifestOf('v2')};
	readonly #balancer = new Balancer({addresses: () => this.#fleet.entries.filter(({daemon}) => daemon.isRunning).map(({callers}) => callers ?? '')});
	readonly #traffic = new Traffic({
		balancer: this.#balancer, random: seededRandom('demo'), model: MODEL, manifests: Object.values(this.#manifests),
	});

	async run(): Promise<void> {
		await this.#startFleet();
		await this.#balancer.start();
		this.#traffic.start();
		await this.#serveFirstRequests();
		await this.#rollOut();
		await this.#applyEdit();
		await this.#stopAsPlanned();
		await this.#traffic.stop();
		await this.#checkPromises();
	}

	async close(): Promise<void> {
		this.#balancer.close();
		await this.#fleet.close();
	}

	async #startFleet(): Promise<void> {
		const start = performance.now();
		await this.#fleet.start();
		const document = documentText({model: {name: MODEL, version: 'v1', manifest: this.#manifests.v1}});
		const {exitCode, output} = await this.#fleet.operate(['init', 'FILE'], {file: document});
		if (exitCode !== 0) {
			throw new Error(`The document was not accepted: ${output}`);
		}

		await this.#fleet.addEntry('entry-1');
		await this.#fleet.addEntry('entry-2');
		for (let i = 1; i <= ENGINES; i++) {
			await this.#fleet.addAgent(`engine-${i}`, {
				kind: 'engine', service: MODEL, checksFencing: i !== ENGINES, linkBytesPerSecond: LINK_BYTES_PER_SECOND,
			});
		}

		await this.#fleet.addAgent('orders-1', {kind: 'service', service: 'orders'});
		await this.#waitForVersion('v1');
		this.#row('processes started, v1 of 64 MB on every engine', seconds(start), true);
	}

	async #serveFirstRequests(): Promise<void> {
		await waitUntil(() => this.#answered().length >= 40, {subject: '40 answers'});
		this.#row('requests answered before the rollout', String(this.#answered().length), true);
	}

	async #rollOut(): Promise<void> {
		const start = performance.now();
		const before = await readBytesServed(this.#fleet.platform.origin);
		const {exitCode, output} = await this.#fleet.operate(['apply', 'FILE', '--section', `model.${MODEL}`], {
			team: 'models', file: modelSection({version: 'v2', manifest: this.#manifests.v2}),
		});
		if (exitCode !== 0) {
			throw new Error(`The edit was not accepted: ${output}`);
		}

		await this.#waitForVersion('v2');
		const after = await readBytesServed(this.#fleet.platform.origin);
		const copies = (after - before) / WEIGHT_BYTES;
		this.#row(`v2 on ${ENGINES} engines under load`, `${seconds(start)}, ${copies.toFixed(2)} copies from the origin`, copies < ENGINES);
	}

	async #applyEdit(): Promise<void> {
		const start = performance.now();
		const {exitCode, output} = await this.#fleet.operate(['apply', 'FILE', '--section', 'route.chat'], {
			team: 'routing', file: `path = /v1/chat/completions\nkind = model\nmodels = ${MODEL}\ndeadline_ms = 20000\n`,
		});
		await this.#fleet.waitForAll('revision 3 in force', ({revision}) => revision === 3);
		this.#row('operator edit in force on every process', seconds(start), exitCode === 0);
		const refused = await this.#fleet.operate(['apply', 'FILE', '--section', 'route.chat'], {team: 'models', file: 'path = /x\n'});
		this.#row('edit of another team\'s section refused', `exit code ${refused.exitCode}`, refused.exitCode !== 0);
		if (exitCode !== 0) {
			say(output);
		}
	}

	async #stopAsPlanned(): Promise<void> {
		const stream = callChat({
			address: this.#fleet.find('entry-1').callers ?? '', model: MODEL, prompt: 'Long answer please.', tokens: 400, stream: true, manifests: Object.values(this.#manifests),
		});
		const start = performance.now();
		const codes = await Promise.all(['engine-1', 'entry-1'].map(async name => this.#daemon(name).stop(20_000)));
		this.#row('planned stop of an agent and an entry', `${seconds(start)}, exit codes ${codes.join(' and ')}`, codes.every(code => code === 0));
		const {result, detail = ''} = await stream;
		this.#row('stream in progress during the stop', `${result} ${detail}`.trim(), result === 'answered');
	}

	async #checkPromises(): Promise<void> {
		const {records} = this.#traffic;
		const runs = await readLog<ServiceRun>(this.#fleet.find('orders-1').upstreamAddress ?? '');
		const {duplicates, crossed, falseNotRun, lost} = checkRecords(records, runs);
		const failed = records.filter(({result}) => result !== 'answered');
		const orders = records.filter(({kind, result}) => kind === 'order' && result === 'answered').length;
		this.#row('requests answered in all', `${this.#answered().length}, ${orders} of them orders`, true);
		this.#row('requests refused or failed', String(failed.length), failed.length === 0);
		this.#row('orders run twice', String(duplicates), duplicates === 0);
		this.#row('answers wrong, partial or crossed', String(crossed), crossed === 0);
		this.#row('"not run" told of a call that ran', String(falseNotRun), falseNotRun === 0);
		this.#row('orders answered but never run', String(lost), lost === 0);
		for (const {kind, result, detail, status} of failed.slice(0, 5)) {
			say(`failed: ${kind} ${result} ${status ?? ''} ${detail ?? ''}`);
		}
	}

	async #waitForVersion(version: 'v1' | 'v2'): Promise<void> {
		const manifest = this.#manifests[version];
		await this.#fleet.waitForAll(`${version} on every engine, seen by every process`, ({members}) => {
			const upstreams = members.map(({upstream}) => upstream).filter(upstream => upstream !== undefined);
			const engines = upstreams.filter(({kind}) => kind === 'engine');
			return upstreams.length === ENGINES + 1 && upstreams.every(({ready}) => ready)
				&& engines.every(({served}) => served.some(other => other.manifest === manifest));
		}, 30_000);
	}

	#daemon(id: string): Child {
		return this.#fleet.find(id).daemon;
	}

	#answered() {
		return this.#traffic.records.filter(({result}) => result === 'answered');
	}

	#row(what: string, seen: string, held: boolean): void {
		this.rows.push({what, seen, held});
		say(`${held ? 'ok  ' : 'FAIL'} ${what}: ${seen}`);
	}
}

const run = async (): Promise<number> => {
	const demo = new Demo();
	const limit = setTimeout(() => {
		demo.rows.push({what: 'time limit', seen: `over ${RUN_LIMIT_MS} ms`, held: false});
		void demo.close();
	}, RUN_LIMIT_MS);
	try {
		await demo.run();
	} catch (error) {
		demo.rows.push({what: 'demo', seen: describeError(error), held: false});
	} finally {
		clearTimeout(limit);
		await demo.close();
	}

	say('');
	printTable(demo.rows);
	return demo.rows.every(({held}) => held) ? 0 : 1;
};

process.exit(await run());
