import {createHash} from 'node:crypto';

/** SHA-256 of the data as 64 hexadecimal digits. */
export const sha256 = (data: Uint8Array | string): string => createHash('sha256').update(data).digest('hex');

/** Short hash that identifies a request's content in logs and counters: 32 hexadecimal digits. */
export const fingerprint = (...parts: ReadonlyArray<Uint8Array | string>): string => {
	const hash = createHash('sha256');
	for (const part of parts) {
		hash.update(part);
		hash.update('\0');
	}

	return hash.digest('hex').slice(0, 32);
};
