/** Messages between entries and agents about requests. */

/** Query about one request. An agent that has not received the request records a tombstone and will never run it. */
export type SettleQuery = {
	readonly requestId: string;
	readonly incarnation: number;
};

/**
What an agent knows about a request.

- `not-run`: it was not run and never will be.
- `running`: it was sent to the upstream. `headSent` and `bytesSent` say how much of the answer was sent to the entry.
- `completed`: the upstream answered in full. `kept` says whether the answer can be fetched.
- `unknown`: it may have been run; the agent failed to complete it or has no record of it, for example after a restart.
*/
export type SettleReply = {
	readonly state: 'not-run' | 'running' | 'completed' | 'unknown';
	readonly headSent: boolean;
	readonly bytesSent: number;
	readonly kept: boolean;

	/** The death of the upstream that ended the request. */
	readonly death?: DeathReport;
};

export type AnswerQuery = SettleQuery & {
	/** Time to wait for a request that is running, in milliseconds. */
	readonly waitMs: number;
};

/** The finished answer to a non-repeatable request. */
export type KeptAnswer = {
	readonly status: number;

	/** Names and values alternate. */
	readonly headers: readonly string[];

	/** Base64-encoded. */
	readonly body: string;
};

export type AnswerReply = SettleReply & {
	readonly answer?: KeptAnswer;
};

/** Report that an upstream died while the requests with these fingerprints were in progress. */
export type DeathReport = {
	/** Unique for each death, so that repeated reports count once. */
	readonly deathId: string;
	readonly vm: string;
	readonly fingerprints: readonly string[];
};
