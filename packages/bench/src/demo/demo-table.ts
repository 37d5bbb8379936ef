import process from 'node:process';

export type DemoRow = {
	readonly what: string;
	readonly seen: string;
	readonly held: boolean;
};

/** Prints the rows as a table with columns of equal width. */
export const printTable = (rows: readonly DemoRow[]): void => {
	const width = Math.max(...rows.map(({what}) => what.length));
	const seenWidth = Math.max(...rows.map(({seen}) => seen.length));
	const line = `${'-'.repeat(width)}  ${'-'.repeat(seenWidth)}  ----`;
	process.stdout.write(`${line}\n`);
	for (const {what, seen, held} of rows) {
		process.stdout.write(`${what.padEnd(width)}  ${seen.padEnd(seenWidth)}  ${held ? 'ok' : 'FAIL'}\n`);
	}

	process.stdout.write(`${line}\n`);
};
