/** Checks the status and version of an engine's response before any of it is passed on. */
import {RequestError, type RequestErrorKind} from './errors.js';
import {singleValue, type ResponseHeaders} from './headers.js';

/** Response header with the manifest hash of the version that the engine used. */
export const MODEL_VERSION = 'x-model-version';

/**
Returns whether the agent verified the weights of the model's version with this manifest hash.

That is not only the version served now: during a switch, requests in progress finish on the old version, and the new one
answers before the agent has read the engine's state again.
*/
export type VersionCheck = (name: string, manifest: string) => boolean;

/** Statuses with which an engine rejects a request without running it: the model is not active (404, 409), or the queue is full (503). */
const REJECTIONS: ReadonlyMap<number, RequestErrorKind> = new Map([[404, 'wrong-version'], [409, 'wrong-version'], [503, 'overloaded']]);

export const upstreamFailed = (detail: string): RequestError => new RequestError({
	kind: 'upstream-failed', detail, remedy: 'Check whether the request took effect before sending it again.', outcome: 'unknown',
});

/** @returns why the response must not be passed on, or `undefined` when it may be. Client errors, which carry no version, are passed on. */
export const checkEngineResponse = (status: number, headers: ResponseHeaders, {model, isVerified}: {
	readonly model: string | undefined;
	readonly isVerified: VersionCheck;
}): RequestError | undefined => {
	const rejection = REJECTIONS.get(status);
	if (rejection) {
		return new RequestError({kind: rejection, detail: `The engine rejected the request with status ${status}.`, remedy: 'Send the request again.'});
	}

	if (status >= 500) {
		return upstreamFailed(`The engine failed with status ${status}.`);
	}

	if (status >= 300) {
		return undefined;
	}

	const version = singleValue(headers[MODEL_VERSION]);
	if (version !== undefined && model !== undefined && isVerified(model, version)) {
		return undefined;
	}

	return new RequestError({
		kind: 'unverified', detail: 'The engine answered with a version that was not verified.', remedy: 'Send the request again.', outcome: 'unknown',
	});
};
