/** Reads and validates a caller's request. */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {Suspect} from '@yuccawood/crashes';
import type {Configuration, RouteConfiguration} from '@yuccawood/configuration';
import {parseChat, promptPrefix, type ChatBody} from './chat-body.js';
import {fingerprintOf, prefixGroup, suspectsOf} from './fingerprint.js';
import {RequestError} from './errors.js';
import {DEADLINE_MS, VERSION, singleValue} from './headers.js';

/** The model or service that a call is for; only agents that serve it can run the call. */
export type Target = {
	readonly kind: 'model' | 'service';
	readonly name: string;

	/** `model:NAME` or `service:NAME`. */
	readonly key: string;
};

export type Call = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;

	/** Names and values alternate. */
	readonly rawHeaders: readonly string[];

	/** Value of the `connection` header. */
	readonly connection: string | undefined;
	readonly body: Uint8Array | undefined;

	/** The parsed body of a call to a model. */
	readonly chat: ChatBody | undefined;
	readonly target: Target;

	/** Whether the call may safely be run more than once. */
	readonly repeatable: boolean;

	/** Hash of method, path and body. */
	readonly fingerprint: string;

	/** What the call shares with other calls and an upstream may crash under: the messages before the last one. */
	readonly suspects: readonly Suspect[];

	/** Group of the prompt prefix; calls with the same prefix are in the same group. */
	readonly prefix: string | undefined;

	/** Monotonic times in milliseconds. The call may have arrived later, if the process was busy. */
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	readonly bearer: string | undefined;
	readonly idempotencyKey: string | undefined;

	/** Manifest hash of the only version that may answer, if the caller requires one. */
	readonly pinnedVersion: string | undefined;
};

const createTooLargeError = (limitBytes: number): RequestError => new RequestError({
	kind: 'body-too-large', detail: `The body exceeds the limit of ${limitBytes} bytes.`, remedy: 'Send a smaller body.',
});

/** Reads a body up to a limit. @returns `undefined` when there is none. @throws {RequestError} `body-too-large`, at once when the declared length exceeds the limit, or `malformed`. */
export const readLimitedBody = async (request: IncomingMessage, limitBytes: number): Promise<Uint8Array | undefined> => {
	const declaredBytes = request.headers['content-length'];
	if (declaredBytes === undefined && request.headers['transfer-encoding'] === undefined) {
		return undefined;
	}

	if (declaredBytes !== undefined && Number(declaredBytes) > limitBytes) {
		throw createTooLargeError(limitBytes);
	}

	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let receivedBytes = 0;
		request.on('data', (part: Uint8Array) => {
			receivedBytes += part.byteLength;
			if (receivedBytes > limitBytes) {
				request.pause();
				reject(createTooLargeError(limitBytes));
				return;
			}

			chunks.push(part);
		});
		let isComplete = false;
		request.on('end', () => {
			isComplete = true;
			resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, receivedBytes));
		});
		request.on('close', () => {
			if (!isComplete) {
				reject(new RequestError({kind: 'malformed', detail: 'The connection closed before the body was complete.', remedy: 'Send the request again.'}));
			}
		});
	});
};

/** The route with the longest path that is a prefix of the request's path, in whole segments. @throws {RequestError} `no-route`. */
export const findRoute = (routes: readonly RouteConfiguration[], url: string): RouteConfiguration => {
	const query = url.indexOf('?');
	const path = query === -1 ? url : url.slice(0, query);
	let found: RouteConfiguration | undefined;
	for (const route of routes) {
		const matches = path.startsWith(route.path) && (path.length === route.path.length || route.path.endsWith('/') || path[route.path.length] === '/');
		if (matches && (found === undefined || route.path.length > found.path.length)) {
			found = route;
		}
	}

	if (!found) {
		throw new RequestError({kind: 'no-route', detail: `No route serves the path ${path}.`, remedy: 'Use a path of a [route.*] section of the configuration.'});
	}

	return found;
};

/** Whether the route serves the model, or a model that is the base of this adapter. */
const isServed = (model: string, models: readonly string[], configuration: Configuration): boolean => models.includes(model)
	|| configuration.models.some(({name, kind, base}) => kind === 'adapter' && name === model && base !== undefined && models.includes(base));

type Destination = Pick<Call, 'target' | 'chat' | 'prefix' | 'repeatable'>;

const findDestination = ({method = 'GET'}: IncomingMessage, body: Uint8Array | undefined, route: RouteConfiguration, configuration: Configuration): Destination => {
	if (route.target.kind === 'service') {
		return {
			target: {kind: 'service', name: route.target.service, key: `service:${route.target.service}`}, chat: undefined, prefix: undefined, repeatable: route.repeatableMethods.includes(method),
		};
	}

	if (method !== 'POST') {
		throw new RequestError({kind: 'malformed', detail: `The route ${route.name} does not take ${method}.`, remedy: 'Use POST.'});
	}

	const chat = parseChat(body);
	const {model} = chat;
	if (!isServed(model, route.target.models, configuration)) {
		throw new RequestError({kind: 'unknown-model', detail: `The route ${route.name} has no model "${model.slice(0, 100)}".`, remedy: `Use one of: ${route.target.models.join(', ')}.`});
	}

	// Generating text has no side effects, so it may be run again.
	return {
		target: {kind: 'model', name: model, key: `model:${model}`}, chat, prefix: prefixGroup(promptPrefix(chat)), repeatable: true,
	};
};

/** Time that the call may take: the caller's limit, at most that of the route. */
const readDeadlineMs = (request: IncomingMessage, route: RouteConfiguration): number => {
	const requestedMs = Number(singleValue(request.headers[DEADLINE_MS]) ?? Number.NaN);
	return requestedMs > 0 ? Math.min(requestedMs, route.deadlineMs) : route.deadlineMs;
};

const readBearer = (authorization: string | undefined): string | undefined => authorization?.startsWith('Bearer ') ? authorization.slice('Bearer '.length) : undefined;

/** Reads and checks a request. @throws {RequestError} with outcome `not-run`. */
export const readCall = async (request: IncomingMessage, {requestId, configuration, arrivedAt}: {
	readonly requestId: string;
	readonly configuration: Configuration;

	/** Monotonic time in milliseconds. */
	readonly arrivedAt: number;
}): Promise<Call> => {
	const path = request.url ?? '/';
	if (!path.startsWith('/')) {
		throw new RequestError({kind: 'malformed', detail: 'The request target is not a path.', remedy: 'Send a path that starts with "/".'});
	}

	const route = findRoute(configuration.routes, path);
	const body = await readLimitedBody(request, route.maxBodyBytes);
	const method = request.method ?? 'GET';
	const destination = findDestination(request, body, route, configuration);
	return {
		requestId,
		method,
		path,
		rawHeaders: request.rawHeaders,
		connection: request.headers.connection,
		body,
		...destination,
		suspects: suspectsOf(destination.chat),
		fingerprint: fingerprintOf(method, path, body),
		arrivedAt,
		deadlineAt: arrivedAt + readDeadlineMs(request, route),
		bearer: readBearer(request.headers.authorization),
		idempotencyKey: singleValue(request.headers['idempotency-key']),
		pinnedVersion: singleValue(request.headers[VERSION]),
	};
};
