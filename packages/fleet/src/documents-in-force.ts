import type {EngineDirectory, TrafficConfiguration} from './types.js';

/** The configuration in force, with its store revision and the time at which this process learned of it. */
export type ConfigurationInForce = {
	readonly configuration: TrafficConfiguration;
	readonly revision: number;

	/** Monotonic milliseconds. */
	readonly learnedAt: number;
};

/** The engine directory with the store revision of its item. */
export type StoredDirectory = {
	readonly directory: EngineDirectory;

	/** 0 for a directory that this process derived from the configuration. */
	readonly itemRevision: number;
};
