/** Bodies of chat completions. */
import {Buffer} from 'node:buffer';
import {PREFIX_CHARACTERS} from './constants.js';
import {RequestError} from './errors.js';

export type ChatBody = {
	readonly model: string;
	readonly messages: readonly unknown[];
	readonly priority?: unknown;
};

const OPENING_BRACE = '{'.codePointAt(0)!;

const malformed = (detail: string, cause?: unknown): RequestError => new RequestError({
	kind: 'malformed', detail, remedy: 'Send a JSON object with "model" and "messages" as in the chat-completions format.', cause,
});

/** @throws {RequestError} `malformed`. */
export const parseChat = (body: Uint8Array | undefined): ChatBody => {
	if (!body) {
		throw malformed('The request has no body.');
	}

	let parsed: unknown;
	try {
		parsed = JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8'));
	} catch (error) {
		throw malformed('The body is not valid JSON.', error);
	}

	const chat = parsed as Partial<ChatBody> | undefined;
	if (typeof chat !== 'object' || chat === null || typeof chat.model !== 'string' || !Array.isArray(chat.messages)) {
		throw malformed('The body lacks "model" or "messages".');
	}

	return chat as ChatBody;
};

/** The beginning of the prompt, by which engines cache. */
export const promptPrefix = ({messages}: ChatBody): string => {
	const first = messages[0] as {readonly content?: unknown} | undefined;
	return typeof first?.content === 'string' ? first.content.slice(0, PREFIX_CHARACTERS) : '';
};

/** The body with the priority of the account, which a caller may lower but not raise. Avoids serialising the body again unless the caller named a priority. */
export const withPriority = (body: Uint8Array, chat: ChatBody, priority: number): Uint8Array => {
	if (chat.priority !== undefined) {
		const asked = typeof chat.priority === 'number' ? chat.priority : priority;
		return Buffer.from(JSON.stringify({...chat, priority: Math.min(asked, priority)}));
	}

	return Buffer.concat([Buffer.from(`{"priority":${priority},`), body.subarray(body.indexOf(OPENING_BRACE) + 1)]);
};
