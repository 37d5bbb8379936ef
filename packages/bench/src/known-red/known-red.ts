/** Tests that are known to fail, as `KNOWN-RED.txt` lists them: an entry names one by a line `Test: <full title>`. */

const TITLE_LINE = /^\s*Test:\s*(?<title>.+?)\s*$/u;

/** Full titles of the tests that the list names. */
export const listedTitles = (list: string): readonly string[] =>
	list.split('\n').map(line => TITLE_LINE.exec(line)?.groups?.title).filter(title => title !== undefined);

const testsOf = (suite: Mocha.Suite): readonly Mocha.Test[] => [...suite.tests, ...suite.suites.flatMap(child => testsOf(child))];

export type PassedOver = {
	/** Tests that will not run. */
	readonly skipped: readonly string[];

	/** Listed titles that no test has. */
	readonly unknown: readonly string[];
};

/** Marks exactly the tests with these titles as pending. */
export const passOver = (suite: Mocha.Suite, titles: readonly string[]): PassedOver => {
	const listed = new Set(titles);
	const found = testsOf(suite).filter(test => listed.has(test.fullTitle()));
	for (const test of found) {
		test.pending = true;
	}

	const skipped = found.map(test => test.fullTitle());
	return {skipped, unknown: titles.filter(title => !skipped.includes(title))};
};
