import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {expect} from 'chai';
import {EXIT_CODES} from '../constants.js';
import {runProgram} from '../program.js';
import type {RequestTimeline} from './types.js';

const line = (second: number, origin: string, message: string, fields: Readonly<Record<string, unknown>> = {}): string => {
	const [vm, part] = origin.split(' ');
	return JSON.stringify({
		timestamp: `2026-01-01T00:00:${String(second).padStart(2, '0')}.000Z`, vm, part, message, level: 'info', ...fields,
	});
};

const ENTRY_LOG = [
	line(1, 'entry-1 fleet', 'Configuration is in force.', {version: 3, revision: 7}),
	line(2, 'entry-1 fleet', 'Configuration is in force.', {version: 4, revision: 9}),
	line(3, 'entry-1 fleet', 'Upstream is listed.', {id: 'u-1', address: '10.0.0.5:8000'}),
	line(12, 'entry-1 requests', 'Sent again after a failure.', {
		requestId: 'a', upstream: 'u-1', failure: 'unknown', detail: 'read ECONNRESET', sends: 1,
	}),
	line(13, 'entry-1 requests', 'Upstream is suspended.', {requestId: 'b', upstream: 'u-1'}),
	line(14, 'entry-1 requests', 'Given up after a failure.', {
		requestId: 'a', upstream: 'u-2', failure: 'answered-error', detail: 'status 500', reason: 'attempts-used', sends: 2,
	}),
	line(15, 'entry-1 requests', 'Decisions were left out of the log.', {omitted: 4}),
	line(16, 'entry-1 requests', 'Rejected.', {requestId: 'c', reason: 'no-version', mayHaveRun: false}),
].join('\n');

const AGENT_LOG = [
	line(1, 'agent-5 process', 'Agent starts.', {ip: '10.0.0.5'}),
	line(11, 'agent-5 weights', 'The engine does not answer.', {error: 'refused'}),
	line(11, 'agent-6 weights', 'Transfer begins.', {version: 2}),
].join('\n');

describe('explain', () => {
	let directory: string;
	let output = '';
	let errors = '';
	let input: string | undefined;

	const run = async (...args: readonly string[]): Promise<number> => {
		output = '';
		errors = '';
		return runProgram(args, {
			terminal: {
				write(text) {
					output += text;
				},
				writeError(text) {
					errors += text;
				},
				isInteractive: false,
				readInput: async () => input,
				editor: undefined,
			},
			openKeyValue() {
				throw new Error('explain reads logs only');
			},
		});
	};

	const timeline = (): RequestTimeline => JSON.parse(output) as RequestTimeline;

	beforeEach(async () => {
		directory = await mkdtemp(path.join(tmpdir(), 'yuccawood-explain-'));
		input = undefined;
	});

	afterEach(async () => {
		await rm(directory, {recursive: true});
	});

	const files = async (): Promise<readonly string[]> => {
		const entry = path.join(directory, 'entry.log');
		const agent = path.join(directory, 'agent.log');
		await writeFile(entry, ENTRY_LOG);
		await writeFile(agent, `collector: ${AGENT_LOG.replaceAll('\n', '\ncollector: ')}\nno log line\n`);
		return [entry, agent];
	};

	describe('timeline', () => {
		it('shows the decisions on a failed request in order, with related lines of its upstream and the agent', async () => {
			expect(await run('explain', 'a', ...await files())).to.equal(EXIT_CODES.done);
			expect(output).to.include('Given up (attempts-used) after a failure at upstream u-2');
			const lines = output.split('\n');
			const order = ['The engine does not answer.', 'Sent again after a failure.', 'Upstream is suspended.', 'Given up after a failure.', '4 decisions were left out']
				.map(message => lines.findIndex(text => text.includes(message)));
			expect(order).to.not.include(-1);
			expect(order).to.deep.equal([...order].sort((a, b) => a - b));
		});

		it('shows the configuration in force when the request came, not an older one', async () => {
			await run('explain', 'a', '--json', ...await files());
			expect(timeline().beliefs.map(({fields}) => fields.revision)).to.deep.equal([9]);
		});

		it('leaves out agents of upstreams that the request was not sent to', async () => {
			await run('explain', 'a', '--json', ...await files());
			expect(timeline().surroundings.map(({source}) => source)).to.not.include('agent-6');
		});

		it('shows the transfers of all agents when no upstream held the version', async () => {
			await run('explain', 'c', '--json', ...await files());
			expect(timeline().conclusion).to.equal('Rejected without having run: no-version.');
			expect(timeline().surroundings.map(({message}) => message)).to.include('Transfer begins.');
		});
	});

	describe('input', () => {
		it('reads standard input and reports the number of lines that are not log lines', async () => {
			input = `${ENTRY_LOG}\nplain text`;
			expect(await run('explain', 'a')).to.equal(EXIT_CODES.done);
			expect(errors).to.include('1 line is no log line');
		});

		it('fails when no line names the request', async () => {
			expect(await run('explain', 'unknown', ...await files())).to.equal(EXIT_CODES.failure);
			expect(errors).to.include('names request unknown');
		});

		it('fails on a log that cannot be read', async () => {
			expect(await run('explain', 'a', path.join(directory, 'missing.log'))).to.equal(EXIT_CODES.usage);
			expect(errors).to.include('missing.log');
		});
	});
});
