/** An error with a kind for programs and a remedy for people. The message ends with the remedy. */
export class TypedError<Kind extends string = string> extends Error {
	readonly kind: Kind;
	readonly remedy: string;

	constructor({kind, detail, remedy, cause}: {
		readonly kind: Kind;
		readonly detail: string;
		readonly remedy: string;
		readonly cause?: unknown;
	}) {
		super(`${detail} ${remedy}`, {cause});
		this.name = 'TypedError';
		this.kind = kind;
		this.remedy = remedy;
	}
}

/** Text of anything that was thrown. */
export const describeError = (error: unknown): string => error instanceof Error ? error.message : String(error);
