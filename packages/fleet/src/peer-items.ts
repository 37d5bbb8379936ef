/** What peers ask one another for while the store is away, and what they answer. */
import type {PartState, StoreItem} from './item-source.js';

/** Sent by {@link AskPeer}. */
export type PeerQuestion = {
	readonly parts: readonly PartState[];

	/** Whether the answer is a {@link PeerAnswer}. Peers that don't know this field answer with the items alone. */
	readonly wantsKnown?: boolean;
};

/** Items that the asking process lacks, and the prefixes of the parts that the answering one knows as a whole. */
export type PeerAnswer = {readonly items: readonly StoreItem[]; readonly known: readonly string[]};

const isStoreItem = (value: unknown): value is StoreItem => {
	const item = value as Partial<StoreItem> | undefined | null; // eslint-disable-line @typescript-eslint/no-restricted-types
	return typeof item?.key === 'string' && (item.value === undefined || typeof item.value === 'string') && Number.isSafeInteger(item.revision);
};

const arrayOf = (value: unknown): readonly unknown[] => Array.isArray(value) ? value : [undefined];

/**
Reads the answer of a peer, whose address may be that of another process. An item outside of the parts that were asked for
counts as unreadable.
*/
export const readPeerAnswer = (answer: unknown, parts: readonly PartState[]): PeerAnswer & {readonly unreadable: number} => {
	if (answer === undefined) {
		return {items: [], known: [], unreadable: 0};
	}

	const {items: values, known} = Array.isArray(answer) ? {items: answer as unknown, known: []} : (answer ?? {}) as Partial<Record<keyof PeerAnswer, unknown>>;
	const answered = arrayOf(values);
	const items = answered.filter(value => isStoreItem(value)).filter(({key}) => parts.some(({prefix}) => key.startsWith(prefix)));
	const prefixes = arrayOf(known).filter(prefix => parts.some(part => part.prefix === prefix)) as readonly string[];
	return {items, known: prefixes, unreadable: answered.length - items.length};
};
