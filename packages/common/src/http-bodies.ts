import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {TypedError} from './errors.js';

/**
Reads the whole body of a request or response into memory.

@throws {TypedError} of kind `body-too-large` if the body exceeds the limit. The rest of the body is then unread, so the caller should close the
connection.
*/
export const readBody = async (message: AsyncIterable<Uint8Array> | IncomingMessage, limitBytes: number): Promise<Uint8Array> => {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const part of message as AsyncIterable<Uint8Array>) {
		size += part.byteLength;
		if (size > limitBytes) {
			throw new TypedError({kind: 'body-too-large', detail: `The body exceeds ${limitBytes} bytes.`, remedy: 'Send a smaller body.'});
		}

		parts.push(part);
	}

	return Buffer.concat(parts, size);
};

/** Sends the value as JSON and ends the response. */
export const sendJson = (response: ServerResponse, status: number, value: unknown): void => {
	const body = Buffer.from(JSON.stringify(value));
	response.writeHead(status, {'content-type': 'application/json', 'content-length': body.byteLength});
	response.end(body);
};
