/** Messages between entries and agents about requests. */

/** A question about one request. An agent that has not seen the request records a tombstone and will never run it. */
export type SettleQuestion = {
	readonly requestId: string;
	readonly incarnation: number;
};

/**
What an agent knows about a request.

- `not-run`: it was not run and never will be.
- `running`: the upstream has it. `headSent` and `bytesSent` tell how much of the answer was passed on.
- `completed`: the upstream answered in full; `kept` tells whether the answer can be fetched.
- `unknown`: the agent cannot tell, for example because it was restarted.
*/
export type SettleAnswer = {
	readonly state: 'not-run' | 'running' | 'completed' | 'unknown';
	readonly headSent: boolean;
	readonly bytesSent: number;
	readonly kept: boolean;

	/** Death of the upstream that ended the request. */
	readonly death?: DeathReport;
};

export type AnswerQuestion = SettleQuestion & {
	/** Time to wait for a request that is running, in milliseconds. */
	readonly waitMs: number;
};

/** The finished answer to a non-repeatable request. */
export type KeptAnswer = {
	readonly status: number;

	/** Names and values in turn. */
	readonly headers: readonly string[];

	/** Base64. */
	readonly body: string;
};

export type AnswerReply = SettleAnswer & {
	readonly answer?: KeptAnswer;
};

/** An upstream died while it ran the requests with these fingerprints. */
export type DeathReport = {
	/** Differs for each death, so that a report that arrives twice counts once. */
	readonly deathId: string;
	readonly vm: string;
	readonly fingerprints: readonly string[];
};
