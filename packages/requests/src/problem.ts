/** Formats failures as problem documents (`application/problem+json`, RFC 9457). */
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {describeError} from '@yuccawood/common';
import {RequestError} from './errors.js';
import {OUTCOME, REASON} from './headers.js';

/** Converts an unexpected error to a `RequestError` with outcome `unknown`. */
export const toRequestError = (error: unknown): RequestError => error instanceof RequestError
	? error
	: new RequestError({
		kind: 'path-failed', detail: `The request failed: ${describeError(error)}.`, remedy: 'Check whether it took effect before sending it again.', outcome: 'unknown', cause: error,
	});

/** Members of a problem document. */
export const problemDocument = (error: RequestError, requestId: string | undefined): Readonly<Record<string, unknown>> => ({
	type: `urn:yuccawood:problem:${error.kind}`,
	title: error.kind.replaceAll('-', ' '),
	status: error.status,
	detail: error.detail,
	remedy: error.remedy,
	outcome: error.outcome,
	requestId,
});

/** Answers with the problem document. If an answer has begun, closes the connection instead, so that it cannot be mistaken for a complete one. */
export const sendProblem = (response: ServerResponse, error: RequestError, {requestId, close = false}: {readonly requestId?: string; readonly close?: boolean} = {}): void => {
	if (response.headersSent) {
		response.destroy();
		return;
	}

	const body = Buffer.from(JSON.stringify(problemDocument(error, requestId)));
	response.writeHead(error.status, {
		'content-type': 'application/problem+json',
		'content-length': body.byteLength,
		[OUTCOME]: error.outcome,
		[REASON]: error.kind,
		...(requestId !== undefined && {'x-request-id': requestId}),
		...(error.retryAfterSeconds !== undefined && {'retry-after': String(error.retryAfterSeconds)}),
		...(error.status === 401 && {'www-authenticate': 'Bearer'}),
		...(close && {connection: 'close'}),
	});
	response.end(body);
};

/** The server-sent event that ends an interrupted stream, so that its caller can distinguish it from a complete one. */
export const errorEvent = (error: RequestError, requestId: string): string => `event: error\ndata: ${JSON.stringify({error: problemDocument(error, requestId)})}\n\n`;
