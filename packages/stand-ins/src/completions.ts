/** Request and response format of the engine stand-in's chat completions. */
import type {ServerResponse} from 'node:http';
import {Err, Ok, type Result} from '@yuccawood/common';
import {MODEL_VERSION_HEADER, REQUEST_ID_HEADER, type FailureBody} from '@yuccawood/interfaces';
import type {Message} from './answer-text.js';

/** Parsed chat completion request. */
export type Completion = {
	readonly model: string;
	readonly messages: readonly Message[];
	readonly maxTokens: number;
	readonly stream: boolean;

	/** From 0 (lowest) to 9 (highest). */
	readonly priority: number;
};

const DEFAULT_MAX_TOKENS = 16;
const DEFAULT_PRIORITY = 5;

/** Parses the body of a chat completion request and fills in defaults. */
export const parseCompletion = (body: Uint8Array): Result<Completion, FailureBody> => {
	const invalid = (detail: string): Result<Completion, FailureBody> => Err({kind: 'rejected', detail, remedy: 'Send a chat completion with model and messages.'});
	try {
		const fields = JSON.parse(new TextDecoder().decode(body)) as Partial<Record<string, unknown>>;
		const {model, messages, max_tokens: maxTokens = DEFAULT_MAX_TOKENS, stream = false, priority = DEFAULT_PRIORITY} = fields;
		if (typeof model !== 'string' || !Array.isArray(messages)) {
			return invalid('The model or the messages are missing.');
		}

		return Ok({
			model, messages: messages as readonly Message[], maxTokens: Number(maxTokens), stream: stream === true, priority: Number(priority),
		});
	} catch {
		return invalid('The body is not JSON.');
	}
};

/** Text of all messages, which the prefix cache and the search for the crash marker use. */
export const promptText = (messages: readonly Message[]): string =>
	messages.map(({role, content}) => `${role}: ${typeof content === 'string' ? content : JSON.stringify(content)}\n`).join('');

/** Token counts of the prompt, for the field `usage` of the answer. */
export type AnswerUsage = {readonly promptTokens: number; readonly cachedTokens: number};

/** Writes the answer to one request: as server-sent events if it asked for a stream, otherwise as one JSON body. */
export class CompletionAnswer {
	readonly #response: ServerResponse;
	readonly #completion: Completion;
	readonly #requestId: string;
	readonly #headers: Readonly<Record<string, string>>;
	#text = '';

	constructor({response, completion, requestId, manifest}: {
		readonly response: ServerResponse;
		readonly completion: Completion;
		readonly requestId: string;
		readonly manifest: string;
	}) {
		this.#response = response;
		this.#completion = completion;
		this.#requestId = requestId;
		this.#headers = {[MODEL_VERSION_HEADER]: manifest, [REQUEST_ID_HEADER]: requestId};
	}

	/** Sends the headers of a stream. */
	begin(): void {
		if (this.#completion.stream) {
			this.#response.writeHead(200, {...this.#headers, 'content-type': 'text/event-stream', 'cache-control': 'no-store'});
			this.#response.flushHeaders();
		}
	}

	writeToken(text: string): void {
		this.#text += text;
		if (this.#completion.stream) {
			this.#writeEvent({index: 0, delta: {content: text}, finish_reason: null});
		}
	}

	/** @param tokens number of tokens written. */
	end(tokens: number, {promptTokens, cachedTokens}: AnswerUsage): void {
		if (this.#completion.stream) {
			this.#writeEvent({index: 0, delta: {}, finish_reason: 'length'});
			this.#response.end('data: [DONE]\n\n');
			return;
		}

		const body = JSON.stringify({
			...this.#envelope('chat.completion'),
			choices: [{index: 0, message: {role: 'assistant', content: this.#text}, finish_reason: 'length'}],
			usage: {
				prompt_tokens: promptTokens, completion_tokens: tokens, total_tokens: promptTokens + tokens, prompt_tokens_details: {cached_tokens: cachedTokens},
			},
		});

		this.#response.writeHead(200, {...this.#headers, 'content-type': 'application/json'});
		this.#response.end(body);
	}

	#writeEvent(choice: Readonly<Record<string, unknown>>): void {
		this.#response.write(`data: ${JSON.stringify({...this.#envelope('chat.completion.chunk'), choices: [choice]})}\n\n`);
	}

	#envelope(object: string) {
		return {
			id: `chatcmpl-${this.#requestId}`, object, created: Math.floor(Date.now() / 1000), model: this.#completion.model,
		};
	}
}
