/** Creates ids of requests: `ENTRY.INCARNATION.COUNTER`, the last two in base 36. The counter lets an agent order the ids of an entry. */
export class RequestIds {
	readonly #prefix: string;
	#counter = 0;

	constructor({selfId, incarnation}: {readonly selfId: string; readonly incarnation: number}) {
		this.#prefix = `${selfId}.${incarnation.toString(36)}.`;
	}

	next(): string {
		this.#counter++;
		return this.#prefix + this.#counter.toString(36);
	}
}

/** The source of an id (entry and incarnation) and its counter; `undefined` when the id is not of this form. */
export const parseRequestId = (id: string): {readonly source: string; readonly position: number} | undefined => {
	const separator = id.lastIndexOf('.');
	const position = Number.parseInt(id.slice(separator + 1), 36);
	if (separator <= 0 || !Number.isSafeInteger(position)) {
		return undefined;
	}

	return {source: id.slice(0, separator), position};
};
