/** Parses the bodies of chat-completion requests, and sets their priority. */
import {Buffer} from 'node:buffer';
import {PREFIX_CHARACTERS} from './constants.js';
import {RequestError} from './errors.js';

/** The members of the body that this package uses; others are passed on unchanged. */
export type ChatBody = {
	readonly model: string;
	readonly messages: readonly unknown[];
	readonly priority?: unknown;
};

const OPENING_BRACE = '{'.codePointAt(0)!;

const createMalformedError = (detail: string, cause?: unknown): RequestError => new RequestError({
	kind: 'malformed', detail, remedy: 'Send a JSON object with "model" and "messages" as in the chat-completions format.', cause,
});

/** Parses the body and checks `model` and `messages`. @throws {RequestError} `malformed`. */
export const parseChat = (body: Uint8Array | undefined): ChatBody => {
	if (!body) {
		throw createMalformedError('The request has no body.');
	}

	let parsed: unknown;
	try {
		parsed = JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8'));
	} catch (error) {
		throw createMalformedError('The body is not valid JSON.', error);
	}

	const candidate = parsed as Partial<ChatBody> | undefined;
	if (typeof candidate !== 'object' || candidate === null || typeof candidate.model !== 'string' || !Array.isArray(candidate.messages)) {
		throw createMalformedError('The body lacks "model" or "messages".');
	}

	return candidate as ChatBody;
};

/** The first `PREFIX_CHARACTERS` of the first message, empty when it is not text. Engines cache prompts by their beginning. */
export const promptPrefix = ({messages}: ChatBody): string => {
	const first = messages[0] as {readonly content?: unknown} | undefined;
	return typeof first?.content === 'string' ? first.content.slice(0, PREFIX_CHARACTERS) : '';
};

/** Sets the priority of the account in the body. A caller may request a lower one but not a higher one. Serializes the body again only if the caller set a priority. */
export const withPriority = (body: Uint8Array, chat: ChatBody, priority: number): Uint8Array => {
	if (chat.priority !== undefined) {
		const requestedPriority = typeof chat.priority === 'number' ? chat.priority : priority;
		return Buffer.from(JSON.stringify({...chat, priority: Math.min(requestedPriority, priority)}));
	}

	return Buffer.concat([Buffer.from(`{"priority":${priority},`), body.subarray(body.indexOf(OPENING_BRACE) + 1)]);
};
