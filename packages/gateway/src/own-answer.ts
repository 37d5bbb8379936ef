/** Error answers made by the gateway itself, as problem+json. The outcome is `not-run` only if no upstream has run the request or will run it. */
import type {ServerResponse} from 'node:http';
import type {HeaderCodec, GatewayAnswer} from './types.js';

const TITLES: Readonly<Record<GatewayAnswer['status'], string>> = {
	400: 'Bad request',
	401: 'Unknown key',
	404: 'No route',
	408: 'Request not completed in time',
	413: 'Body too large',
	502: 'The upstream gave no complete answer',
	503: 'Not served now',
	504: 'Time limit reached',
};

export const sendGatewayAnswer = (response: ServerResponse, {status, outcome, reason, retryAfterMs}: GatewayAnswer, {codec, requestId, mustClose}: {
	readonly codec: HeaderCodec;
	readonly requestId: string | undefined;
	readonly mustClose: boolean;
}): void => {
	if (response.headersSent || response.destroyed) {
		return;
	}

	const body = JSON.stringify({
		type: 'about:blank', title: TITLES[status], status, detail: reason, outcome, requestId,
	});
	const headers = ['content-type', 'application/problem+json', 'content-length', String(body.length)];
	if (retryAfterMs !== undefined) {
		headers.push(...codec.retryAfterHeaders(retryAfterMs));
	}

	if (mustClose) {
		headers.push('connection', 'close');
	}

	response.writeHead(status, headers);
	response.end(body);
};
