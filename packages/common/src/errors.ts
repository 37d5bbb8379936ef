/** Error with a `kind` that code can compare and a `remedy` that tells people what to do. Its message is the detail followed by the remedy. */
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

/** Message of a thrown value: that of an `Error`, or any other value converted to a string. */
export const describeError = (error: unknown): string => error instanceof Error ? error.message : String(error);
