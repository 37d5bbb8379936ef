/** Ids of requests: the entry, its incarnation and a counter, so that an agent can tell older ids of an entry from newer ones. */
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

/** The source of an id and its position among the ids of that source; `undefined` when the id has another form. */
export const parseRequestId = (id: string): {readonly source: string; readonly position: number} | undefined => {
	const separator = id.lastIndexOf('.');
	const position = Number.parseInt(id.slice(separator + 1), 36);
	if (separator <= 0 || !Number.isSafeInteger(position)) {
		return undefined;
	}

	return {source: id.slice(0, separator), position};
};
