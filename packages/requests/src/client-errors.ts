/** Answers requests that Node's HTTP parser rejects, which never reach the request handler. */
import type {Duplex} from 'node:stream';
import type {Metrics} from '@yuccawood/common';
import {MAX_HEADER_BYTES} from './constants.js';
import {RequestError} from './errors.js';
import {problemDocument} from './problem.js';

const REASONS: Readonly<Record<number, string>> = {400: 'Bad Request', 431: 'Request Header Fields Too Large'};

const describe = (code: string | undefined): RequestError => {
	if (code === 'HPE_HEADER_OVERFLOW') {
		return new RequestError({kind: 'headers-too-large', detail: `The headers exceed the limit of ${MAX_HEADER_BYTES} bytes.`, remedy: 'Send fewer or shorter headers.'});
	}

	return new RequestError({kind: 'malformed', detail: 'The request is not valid HTTP/1.1 or was not sent in time.', remedy: 'Send a complete, well-formed request.'});
};

/** Answers with a problem document (`application/problem+json`) and closes the connection. */
export const answerClientError = (error: Error & {readonly code?: string}, socket: Duplex, metrics: Metrics): void => {
	if (error.code === 'ECONNRESET' || !socket.writable) {
		socket.destroy();
		return;
	}

	const failure = describe(error.code);
	metrics.count('requests.finished', {result: failure.kind});
	const body = JSON.stringify(problemDocument(failure, undefined));
	socket.end([
		`HTTP/1.1 ${failure.status} ${REASONS[failure.status]}`,
		'content-type: application/problem+json',
		`content-length: ${body.length}`,
		'connection: close',
		'',
		body,
	].join('\r\n'));
};
