/** Reads the lines of one server-sent event. Performs no I/O. */

const ID_FIELD = 'id:';
const DATA_FIELD = 'data';

/** Comments, which keep a connection alive, have none. */
export const hasData = (event: string): boolean => event.startsWith(DATA_FIELD) || event.includes(`\n${DATA_FIELD}`);

/** Value of the first line of the field; undefined if there is none. */
export const readEventId = (event: string): string | undefined => {
	const start = event.startsWith(ID_FIELD) ? 0 : event.indexOf(`\n${ID_FIELD}`) + 1;
	if (start === 0 && !event.startsWith(ID_FIELD)) {
		return undefined;
	}

	const end = event.indexOf('\n', start);
	return event.slice(start + ID_FIELD.length, end === -1 ? undefined : end).trim();
};

/**
Whether the lines are those of two events, because the blank line between them arrived with a wrong byte or without one of its bytes.

A lost byte leaves two id lines. A wrong byte may stand before the second one instead, and hides its field name. Lines of data are
not searched, as their text may contain anything.

@param eventNumber number of an id; undefined for text that is none
*/
export const isJoined = (event: string, eventNumber: (id: string) => number | undefined): boolean => {
	// Nearly all events have one id line and nothing else that looks like one.
	const first = event.indexOf(ID_FIELD);
	if (first === -1 || !event.includes(ID_FIELD, first + ID_FIELD.length)) {
		return false;
	}

	let previous: {readonly isField: boolean; readonly number: number | undefined} | undefined;
	for (const line of event.split('\n')) {
		const at = line.startsWith(DATA_FIELD) ? -1 : line.indexOf(ID_FIELD);
		if (at === -1) {
			continue;
		}

		const isField = at === 0;
		const number = eventNumber(line.slice(at + ID_FIELD.length).trim());
		if (previous && ((isField && previous.isField) || (previous.number !== undefined && number === previous.number + 1))) {
			return true;
		}

		previous = {isField, number};
	}

	return false;
};
