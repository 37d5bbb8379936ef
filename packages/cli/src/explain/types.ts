/** Log lines of entries and agents, and the story that they tell of one request. */

export type LogLine = {
	/** VM that wrote the line; the name of the log where the line names none. */
	readonly source: string;

	/** Unix milliseconds, by the clock of that VM. */
	readonly at: number;
	readonly part: string;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** A log, read from a file or from standard input. */
export type LogText = {
	readonly name: string;
	readonly text: string;
};

export type Story = {
	readonly requestId: string;

	/** What the entries knew that the request met, as of its first line; oldest first. */
	readonly beliefs: readonly LogLine[];

	/** What was decided on the request. */
	readonly decisions: readonly LogLine[];

	/** What happened meanwhile to the upstreams that it met, or that it could not use. */
	readonly surroundings: readonly LogLine[];

	/** Lines of these logs that their processes left out within the time of the story. */
	readonly omitted: number;
	readonly conclusion: string;
};
