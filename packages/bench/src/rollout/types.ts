/** What one run of the benchmark is asked to do. */
export type RolloutPlan = {
	readonly replicas: number;
	readonly sizeBytes: number;
	readonly chunkBytes: number;
	readonly regions: readonly string[];

	/** Line rate of a VM in each direction; the origin's link has twice that. */
	readonly linkBytesPerSecond: number;

	/** Rate between two regions, shared by their VMs. */
	readonly crossRegionBytesPerSecond: number;
	readonly balance: number;
	readonly maxSwitchingShare: number;

	/** Kills one VM in eight during the transfer and corrupts 5% of the chunks that the origin sends. */
	readonly withFaults: boolean;
};

/** What the rollout with the system under test took. */
export type RolloutOutcome = {
	readonly seconds: number;

	/** Time until each quarter of the replicas was active, in seconds. */
	readonly quartiles: readonly number[];
	readonly originCopies: number;
	readonly crossRegionCopies: number;
	readonly liveP99BeforeMs: number;
	readonly liveP99DuringMs: number;
	readonly liveCalls: number;
	readonly violations: number;

	/** Times that an agent halved its transfers because live requests were slower than usual. */
	readonly slowdowns: number;

	/** Requests to peers that stalled, broke or could not be connected. */
	readonly failedPeers: number;

	/** Processor time of all agents during the rollout, in seconds. */
	readonly agentCpuSeconds: number;
};
