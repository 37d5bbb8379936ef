/** Runs a case: writes its record and sets its exit code. */
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const EXIT = {held: 0, broken: 1, failed: 2};
const LIMIT_MS = 115_000;

/** Whether the run has its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Writes what happens in a run to `record.txt` in the folder of the case, with the time since its start. */
export class Journal {
	#file;
	#startedAt = performance.now();

	constructor(file) {
		this.#file = file;
		writeFileSync(file, '');
	}

	get now() {
		return performance.now() - this.#startedAt;
	}

	note(text) {
		appendFileSync(this.#file, `${(this.now / 1000).toFixed(3)} ${text}\n`);
	}

	/** Also on the terminal. */
	say(text) {
		this.note(text);
		process.stdout.write(`${text}\n`);
	}
}

/**
@param url of the module of the case
@param run gets the journal and `onEnd`, which takes what has to be closed; resolves with whether the rule was broken
*/
export const runCase = async (url, run) => {
	process.stdout.on('error', () => undefined);
	const journal = new Journal(path.join(path.dirname(fileURLToPath(url)), 'record.txt'));
	const closers = [];
	journal.say(HAS_TROUBLE ? 'With the disruption.' : 'Without the disruption.');
	const end = async code => {
		for (const close of closers.reverse()) {
			await close();
		}

		journal.say(`Exit code ${code}.`);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit
	};

	for (const name of ['SIGINT', 'SIGTERM']) {
		process.once(name, async () => {
			journal.say(`The run was ended by ${name}.`);
			await end(EXIT.failed);
		});
	}

	setTimeout(async () => {
		journal.say('The run took too long.');
		await end(EXIT.failed);
	}, LIMIT_MS).unref();
	try {
		const isBroken = await run(journal, close => {
			closers.push(close);
		});
		await end(isBroken ? EXIT.broken : EXIT.held);
	} catch (error) {
		journal.say(`The case could not run: ${error.stack}`);
		await end(EXIT.failed);
	}
};
