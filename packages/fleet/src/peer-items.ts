import type {PartState, StoreItem} from './item-source.js';

const isStoreItem = (value: unknown): value is StoreItem => {
	const item = value as Partial<StoreItem> | undefined | null; // eslint-disable-line @typescript-eslint/no-restricted-types
	return typeof item?.key === 'string' && (item.value === undefined || typeof item.value === 'string') && Number.isSafeInteger(item.revision);
};

/**
Items in the answer of a peer, whose address may be that of another process. An item outside of the parts that were asked
for counts as unreadable.
*/
export const itemsOfPeer = (answer: unknown, parts: readonly PartState[]): {readonly items: readonly StoreItem[]; readonly unreadable: number} => {
	if (answer === undefined) {
		return {items: [], unreadable: 0};
	}

	const values: readonly unknown[] = Array.isArray(answer) ? answer : [undefined];
	const items = values.filter(value => isStoreItem(value)).filter(({key}) => parts.some(({prefix}) => key.startsWith(prefix)));
	return {items, unreadable: values.length - items.length};
};
