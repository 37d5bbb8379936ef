/** Log lines of entries and agents, and the timeline of one request that is built from them. */

export type LogLine = {
	/** VM that wrote the line, or the name of the log if the line has no VM. */
	readonly source: string;

	/** Milliseconds since the epoch, by the clock of that VM. */
	readonly at: number;
	readonly part: string;
	readonly message: string;
	readonly fields: Readonly<Record<string, unknown>>;
};

/** Content of a log from a file or from standard input. */
export type LogText = {
	readonly name: string;
	readonly text: string;
};

/** What the logs show about one request. With `--json` it is printed as it is. */
export type RequestTimeline = {
	readonly requestId: string;

	/** State that the entries which handled the request had observed before its first line; oldest first. */
	readonly beliefs: readonly LogLine[];

	/** Lines that name the request, by time. */
	readonly decisions: readonly LogLine[];

	/** Other lines of that time about the upstreams of the request, their agents, and the processes that handled it. */
	readonly surroundings: readonly LogLine[];

	/** Number of decisions that the entries left out of their logs within the time of the timeline. */
	readonly omitted: number;

	/** Outcome of the request, in one sentence. */
	readonly conclusion: string;
};
