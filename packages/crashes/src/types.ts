/** Data of crashes. Times are monotonic milliseconds of this process; between processes only ages are sent, in milliseconds. */

/** What a crash may be attributed to: a whole request, or a part of its prompt that other requests may share. */
export type Suspect = {
	/** The same in all processes. */
	readonly id: string;

	/** Higher for a narrower suspect: a later part of a prompt than an earlier one, and a whole request than its parts. */
	readonly depth: number;
};

/** The end of an upstream that ran requests. */
export type Crash = {
	/** Key of the start of the upstream. */
	readonly upstream: string;
	readonly at: number;

	/** Depths of the suspects that were present, by id. */
	readonly suspects: ReadonlyMap<string, number>;
};

/** A suspect and the number of crashes that it explains. */
export type Attribution = {
	readonly id: string;
	readonly crashes: number;
};

/** What one entry saw of a crash. */
export type CrashReport = {
	readonly upstream: string;
	readonly ageMs: number;
	readonly suspects: readonly Suspect[];
};

/** Question to the other entries before a suspect is blocked. */
export type Enquiry = {
	/** Ids of suspects. */
	readonly suspects: readonly string[];

	/** Keys of the upstreams that seem to have crashed under them. */
	readonly upstreams: readonly string[];
};

/** What one entry knows that speaks against a block. */
export type Testimony = {
	/** Latest answers that went on well, by suspect. */
	readonly successes: ReadonlyArray<{readonly id: string; readonly ageMs: number}>;

	/** Latest data of the upstreams. */
	readonly signsOfLife: ReadonlyArray<{readonly upstream: string; readonly ageMs: number}>;
};

/** Answers to an {@link Enquiry}. */
export type EnquiryResult = {
	/** Number of entries that were asked. */
	readonly asked: number;
	readonly testimonies: readonly Testimony[];
};

/** Way to the other entries. */
export interface CrashPeers {
	readonly report: (report: CrashReport) => void;

	/** Tells that a run with a blocked suspect, of this id, went on well. */
	readonly reportSuccess: (id: string) => void;

	/** Resolves when all have answered or have taken too long. Ages count from the call. */
	readonly enquire: (enquiry: Enquiry) => Promise<EnquiryResult>;
}

/** For an entry that knows no others. */
export const NO_CRASH_PEERS: CrashPeers = {
	report: () => undefined,
	reportSuccess: () => undefined,
	enquire: async () => ({asked: 0, testimonies: []}),
};
