import type {Transcript} from './transcript.js';

export type CallerRequest = {
	readonly address: string;
	readonly method?: string;
	readonly path: string;
	readonly headers?: Readonly<Record<string, string>>;
	readonly body?: unknown;
};

const SHOWN_HEADERS = ['content-type', 'retry-after'] as const;

/** Members of a problem document that differ between runs. */
const showBody = (text: string): string => text.replaceAll(/"(?:id|created)":\s?(?:"[^"]*"|\d+),?/g, '').replaceAll(/"x-request-id":"[^"]*"/g, '');

/** Sends one request and writes request and answer into the transcript. @returns the body of the answer. */
export const recordCall = async (transcript: Transcript, caller: string, {address, method = 'POST', path, headers = {}, body}: CallerRequest): Promise<string> => {
	const text = typeof body === 'string' ? body : JSON.stringify(body);
	transcript.add(caller, `> ${method} ${path}${headers['idempotency-key'] ? ` key ${headers['idempotency-key']}` : ''} ${text ?? ''}`.trim());
	try {
		const response = await fetch(`http://${address}${path}`, {method, headers: {'content-type': 'application/json', ...headers}, body: text});
		const answer = await response.text();
		const shown = SHOWN_HEADERS.map(name => response.headers.get(name)).filter(Boolean).join(' ');
		transcript.add(caller, `< ${response.status} ${shown}`);
		for (const line of showBody(answer).split('\n').filter(part => part !== '')) {
			transcript.add(caller, `< ${line}`);
		}

		return answer;
	} catch (error) {
		transcript.add(caller, `< no answer: ${String((error as Error).cause ?? error)}`);
		return '';
	}
};
