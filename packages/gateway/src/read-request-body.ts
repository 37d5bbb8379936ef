/** Reads the body of a caller's request up to a size limit. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';

/** `body` is undefined if the request has none. `broken`: the caller closed the connection before the body was complete. */
export type RequestBody =
	{readonly kind: 'complete'; readonly body: Uint8Array | undefined}
	| {readonly kind: 'too-large'}
	| {readonly kind: 'broken'};

export const readRequestBody = async (request: IncomingMessage, limitBytes: number): Promise<RequestBody> => new Promise(resolve => {
	const announced = Number(request.headers['content-length'] ?? 0);
	if (announced > limitBytes) {
		resolve({kind: 'too-large'});
		return;
	}

	const parts: Uint8Array[] = [];
	let bytes = 0;
	request.on('data', (part: Uint8Array) => {
		bytes += part.byteLength;
		if (bytes > limitBytes) {
			resolve({kind: 'too-large'});
			request.pause();
			return;
		}

		parts.push(part);
	});
	request.on('end', () => {
		const isEmpty = bytes === 0 && request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined;
		resolve({kind: 'complete', body: isEmpty ? undefined : Buffer.concat(parts)});
	});
	request.on('close', () => {
		resolve({kind: 'broken'});
	});
	request.on('error', () => {
		resolve({kind: 'broken'});
	});
});
