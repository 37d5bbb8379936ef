/** One HTTP exchange of a caller with an entry. */
import {request, type Dispatcher} from 'undici';
import type {Attempt} from './evidence.js';

export type Exchange = {
	readonly entry: string;
	readonly method: string;
	readonly path: string;
	readonly body: string | undefined;
	readonly headers: Readonly<Record<string, string>>;
	readonly dispatcher: Dispatcher;
	readonly timeoutMs: number;
};

type Problem = {readonly type?: string; readonly outcome?: Attempt['outcome']};

type Ending = Pick<Attempt, 'result' | 'status' | 'outcome' | 'problem' | 'text'>;

const UNREACHED_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT', 'EHOSTUNREACH']);

/** Sends the request once. Never throws; every failure is a result. */
export const exchange = async ({entry, method, path, body, headers, dispatcher, timeoutMs}: Exchange): Promise<Attempt> => {
	const startedAt = Date.now();
	const controller = new AbortController();
	const timer = setTimeout(() => {
		controller.abort();
	}, timeoutMs);
	let requestId: string | undefined;
	let version: string | undefined;
	let ending: Ending;
	let received = '';
	let status = 0;
	try {
		const response = await request(`http://${entry}${path}`, {
			method, body, headers, dispatcher, signal: controller.signal,
		});
		status = response.statusCode;
		requestId = header(response.headers['x-request-id']);
		version = header(response.headers['x-model-version']);
		const decoder = new TextDecoder();
		for await (const part of response.body as AsyncIterable<Uint8Array>) {
			received += decoder.decode(part, {stream: true});
		}

		ending = interpret(status, header(response.headers['content-type']) ?? '', received);
	} catch (error) {
		const code = (error as {readonly code?: string}).code ?? String(error);
		const text = received.startsWith('data:') ? streamText(received) : '';
		ending = {
			result: UNREACHED_CODES.has(code) ? 'unreached' : 'broken', status, outcome: undefined, problem: code, text,
		};
	} finally {
		clearTimeout(timer);
	}

	return {
		entry, startedAt, endedAt: Date.now(), requestId, version, ...ending,
	};
};

const header = (value: string | string[] | undefined): string | undefined => Array.isArray(value) ? value[0] : value;

const interpret = (status: number, contentType: string, body: string): Ending => {
	if (contentType.startsWith('application/problem+json')) {
		const {type, outcome} = JSON.parse(body) as Problem;
		return {
			result: 'refused', status, outcome, problem: type?.split(':').at(-1), text: '',
		};
	}

	if (contentType.startsWith('text/event-stream')) {
		return interpretStream(status, body);
	}

	const text = status === 200 ? plainText(body) : body;
	return {
		result: status === 200 ? 'answered' : 'refused', status, outcome: status === 200 ? 'completed' : undefined, problem: undefined, text,
	};
};

/** Content of a chat completion, or the body itself. */
const plainText = (body: string): string => {
	const {choices} = JSON.parse(body) as {readonly choices?: ReadonlyArray<{readonly message: {readonly content: string}}>};
	return choices ? choices[0].message.content : body;
};

const interpretStream = (status: number, body: string): Ending => {
	const text = streamText(body);
	if (body.includes('data: [DONE]')) {
		return {
			result: 'answered', status, outcome: 'completed', problem: undefined, text,
		};
	}

	const failure = /event: error\ndata: (.*)\n/.exec(body)?.[1];
	const {error} = JSON.parse(failure ?? '{}') as {readonly error?: Problem};
	return {
		result: 'broken', status, outcome: error?.outcome, problem: error?.type?.split(':').at(-1), text,
	};
};

/** Generated text of the complete events of a stream. */
const streamText = (body: string): string => body.split('\n\n').slice(0, -1)
	.filter(event => event.startsWith('data: {'))
	.map(event => JSON.parse(event.slice('data: '.length)) as {readonly choices?: ReadonlyArray<{readonly delta: {readonly content?: string}}>})
	.map(({choices}) => choices?.[0]?.delta.content ?? '')
	.join('');
