import {createHash} from 'node:crypto';

/** SHA-256 of the data as 64 hexadecimal digits. */
export const sha256 = (data: Uint8Array | string): string => createHash('sha256').update(data).digest('hex');

/**
Short hash of the content of a request, for logs and counters.

@returns the first 32 hexadecimal digits of a SHA-256. A zero byte follows each part, so that moving text from one part to the next changes the hash.
*/
export const fingerprint = (...parts: ReadonlyArray<Uint8Array | string>): string => {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(part);
		hash.update('\0');
	}

	return hash.digest('hex').slice(0, 32);
};
