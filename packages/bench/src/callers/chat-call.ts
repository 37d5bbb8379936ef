import {expectedAnswer} from '@yuccawood/stand-ins';
import type {CallRecord} from './types.js';

export type ChatOptions = {
	readonly address: string;
	readonly model: string;
	readonly prompt: string;
	readonly tokens: number;
	readonly stream: boolean;

	/** Bearer key of the client account. */
	readonly bearer?: string;

	/** Manifests that may answer. */
	readonly manifests: readonly string[];
	readonly timeoutMs?: number;
};

type Problem = {readonly outcome?: string; readonly detail?: string; readonly requestId?: string};
type Completion = {readonly choices?: ReadonlyArray<{readonly message?: {readonly content?: string}; readonly delta?: {readonly content?: string}}>};

const END_MARK = '[DONE]';

/** Joins the tokens of server-sent events. Incomplete without the end mark. */
const readEvents = (text: string): {readonly content: string; readonly isComplete: boolean} => {
	const events = text.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length));
	const tokens = events.filter(event => event !== END_MARK).map(event => (JSON.parse(event) as Completion).choices?.[0]?.delta?.content ?? '');
	return {content: tokens.join(''), isComplete: events.at(-1) === END_MARK};
};

const outcomeOf = (problem: Problem): CallRecord['result'] => {
	const {outcome} = problem;
	return outcome === 'not-run' || outcome === 'completed' || outcome === 'unknown' ? outcome : 'broken';
};

/** Sends one chat completion and checks the whole answer against what the engine stand-in computes from the request. */
export const callChat = async ({address, model, prompt, tokens, stream, bearer, manifests, timeoutMs = 30_000}: ChatOptions): Promise<CallRecord> => {
	const startedAt = Date.now();
	const start = performance.now();
	const messages = [{role: 'user', content: prompt}];
	const record = (fields: Pick<CallRecord, 'result'> & Partial<CallRecord>): CallRecord => ({
		kind: stream ? 'stream' : 'chat', key: '', startedAt, milliseconds: performance.now() - start, ...fields,
	});
	let headReceived = false;
	try {
		const response = await fetch(`http://${address}/v1/chat/completions`, {
			method: 'POST',
			headers: {'content-type': 'application/json', ...bearer ? {authorization: `Bearer ${bearer}`} : {}},
			body: JSON.stringify({
				model, messages, max_tokens: tokens, stream,
			}),
			signal: AbortSignal.timeout(timeoutMs),
		});
		headReceived = true;
		const text = await response.text();
		if (response.status !== 200) {
			const problem = JSON.parse(text) as Problem;
			return record({
				result: outcomeOf(problem), status: response.status, detail: problem.detail, requestId: problem.requestId,
			});
		}

		const whole = stream
			? readEvents(text)
			: {content: (JSON.parse(text) as Completion).choices?.[0]?.message?.content ?? '', isComplete: true};
		if (!whole.isComplete) {
			return record({result: 'broken', status: 200, detail: 'The stream ended early.'});
		}

		const manifest = manifests.find(candidate => expectedAnswer({manifest: candidate, model, messages}, tokens) === whole.content);
		return manifest === undefined
			? record({result: 'wrong', status: 200, detail: `Unexpected answer: ${whole.content.slice(0, 200)}`})
			: record({result: 'answered', status: 200, manifest});
	} catch (error) {
		return record({result: 'broken', detail: `${headReceived ? 'after the head' : 'before the head'}: ${String((error as Error).cause ?? error)}`});
	}
};
