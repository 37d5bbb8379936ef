/** Text that an engine stand-in generates. It depends only on the request and the model version, so a test can compute the expected text. */
import {createHash} from 'node:crypto';

/** Message of a chat completion request. */
export type Message = {readonly role: string; readonly content: unknown};

/** Everything that the generated text depends on. */
export type AnswerSubject = {
	/** SHA-256 of the manifest of the version that answers. */
	readonly manifest: string;
	readonly model: string;
	readonly messages: readonly Message[];
};

/** SHA-256 of the messages. It identifies a request in the log even when it was forwarded under several request ids. */
export const messagesHash = (messages: readonly Message[]): string => createHash('sha256').update(JSON.stringify(messages)).digest('hex');

/** Returns a function that generates the token at an index of one answer. The first token begins with `v` and 8 digits of the manifest hash. */
export const tokenSource = ({manifest, model, messages}: AnswerSubject): (index: number) => string => {
	const prefix = createHash('sha256').update(JSON.stringify([manifest, model, messages])).digest('hex');
	return index => {
		const start = (index * 7) % 56;
		return `${index === 0 ? `v${manifest.slice(0, 8)}` : ''} ${index}${prefix.slice(start, start + 6)}`;
	};
};

/** Text of an answer of `count` tokens, for comparison with what a caller received. */
export const expectedAnswer = (subject: AnswerSubject, count: number): string => {
	const token = tokenSource(subject);
	return Array.from({length: count}, (_, index) => token(index)).join('');
};
