/** One option of a benchmark, as it stands on the command line. */
export type BenchmarkOption = {
	/** For example `--replicas <n>`. */
	readonly flags: string;
	readonly description: string;
	readonly default?: string | boolean;
};

/** A measurement that `npm run bench -- NAME` runs. */
export type Benchmark = {
	readonly name: string;
	readonly description: string;
	readonly options: readonly BenchmarkOption[];

	/**
	Runs the measurement once.

	@param values values of the options by camel-case name.
	@param progress writes a line for a person.
	@returns the fields of the JSON object.
	*/
	readonly run: (values: Readonly<Record<string, string | boolean>>, progress: (line: string) => void) => Promise<Readonly<Record<string, unknown>>>;
};
