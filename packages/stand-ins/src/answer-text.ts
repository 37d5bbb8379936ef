/** Text that an engine stand-in generates, computed from the request and the version that answers. */
import {createHash} from 'node:crypto';

export type Message = {readonly role: string; readonly content: unknown};

/** The part of a chat completion that the answer depends on. */
export type AnswerSubject = {
	/** SHA-256 of the manifest that answers. */
	readonly manifest: string;
	readonly model: string;
	readonly messages: readonly Message[];
};

/** Identifies the messages of a request in the log, whatever id it was forwarded under. */
export const contentHash = (messages: readonly Message[]): string => createHash('sha256').update(JSON.stringify(messages)).digest('hex');

/** Generator of the tokens of one answer, by position. */
export const tokenSource = ({manifest, model, messages}: AnswerSubject): (index: number) => string => {
	const prefix = createHash('sha256').update(JSON.stringify([manifest, model, messages])).digest('hex');
	return index => {
		const start = (index * 7) % 56;
		return `${index === 0 ? `v${manifest.slice(0, 8)}` : ''} ${index}${prefix.slice(start, start + 6)}`;
	};
};

/** The whole answer of `count` tokens. A checker compares it with what a caller received. */
export const expectedAnswer = (subject: AnswerSubject, count: number): string => {
	const token = tokenSource(subject);
	return Array.from({length: count}, (_, index) => token(index)).join('');
};
