/** Hashes that identify the same request when it is sent again, and requests with the same prompt prefix. */
import {Buffer} from 'node:buffer';
import {hash} from 'node:crypto';
import type {Suspect} from '@yuccawood/crashes';
import type {ChatBody} from './chat-body.js';

/** SHA-256 in 64 hexadecimal digits. For small bodies, `hash` takes a third of the time of `createHash`. */
export const fingerprintOf = (method: string, path: string, body: Uint8Array | undefined): string => {
	const head = `${method} ${path}\n`;
	return hash('sha256', body ? Buffer.concat([Buffer.from(head), body]) : head);
};

/** Messages of a prompt beyond these are not told apart. */
const MAX_SUSPECTS = 16;

/** The messages of a prompt that other prompts may share. The last one belongs to the call itself. */
export const suspectsOf = (chat: Pick<ChatBody, 'messages'> | undefined): readonly Suspect[] => (chat?.messages ?? [])
	.slice(0, -1)
	.slice(0, MAX_SUSPECTS)
	.map((message, depth) => ({id: `message:${hash('sha256', JSON.stringify(message))}`, depth}));

/** Number of groups of prompt prefixes. It is limited so that the hashes of their names stay cached. */
const PREFIX_GROUPS = 4096;

/** Name of the group of a prompt prefix. The same text always gives the same group. */
export const prefixGroup = (text: string): string => {
	let hashValue = 0;
	for (let i = 0; i < text.length; i++) {
		hashValue = (Math.imul(hashValue, 31) + text.codePointAt(i)!) % 0x7F_FF_FF_FF;
	}

	return `prefix-${Math.abs(hashValue) % PREFIX_GROUPS}`;
};
