import type {Clock, Log, Random} from '@yuccawood/common';
import {ByteBudget} from './byte-budget.js';
import {
	PAGE_BYTES, PAGE_BURST_BYTES, PAGE_BYTES_PER_SECOND, PAGE_RETRY_MS, PAGE_ATTEMPTS,
} from './constants.js';
import type {MemberDirectory} from './member-directory.js';
import {recordBytes, type ExchangeMessage} from './messages.js';
import type {MemberRecord} from './types.js';

/** Part of the table that answers `pageAfter`. */
export type TablePage = {
	readonly page: readonly MemberRecord[];

	/** Id to continue after; absent on the last page. */
	readonly next?: string;

	/** True when the member has sent too many pages lately; ask another one. */
	readonly isBusy?: boolean;
};

export type PagedAnswer = ExchangeMessage & Partial<TablePage>;

/** Serves the table in pages to processes that start. A byte rate bounds the cost of many starts at once. */
export class TablePages {
	readonly #directory: MemberDirectory;
	readonly #budget: ByteBudget;

	constructor({directory, clock}: {readonly directory: MemberDirectory; readonly clock: Clock}) {
		this.#directory = directory;
		this.#budget = new ByteBudget({clock, bytesPerSecond: PAGE_BYTES_PER_SECOND, burstBytes: PAGE_BURST_BYTES});
	}

	page(after: string): TablePage {
		if (this.#budget.available <= 0) {
			return {page: [], next: after, isBusy: true};
		}

		const rest = this.#directory.live.filter(({id}) => id > after).sort((a, b) => a.id < b.id ? -1 : 1);
		const page: MemberRecord[] = [];
		let bytes = 0;
		for (const record of rest) {
			if (bytes >= PAGE_BYTES) {
				break;
			}

			page.push(record);
			bytes += recordBytes(record);
		}

		this.#budget.spend(bytes);
		return page.length < rest.length ? {page, next: page.at(-1)?.id} : {page};
	}
}

/**
Reads the whole table page by page, from the seeds at first and then from random members, which spreads the load.

@returns false if nobody answered.
*/
export const readTable = async ({seeds, ownAddress, members, readPage, load, clock, random, log, signal}: {
	readonly seeds: readonly string[];
	readonly ownAddress: string;
	readonly members: () => readonly MemberRecord[];

	/** Asks the process at the address and applies its answer, without the page. */
	readonly readPage: (address: string, after: string) => Promise<TablePage>;
	readonly load: (page: readonly MemberRecord[]) => void;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly signal: AbortSignal;
}): Promise<boolean> => {
	const untried = [...random.sample(seeds.filter(seed => seed !== ownAddress), seeds.length)];
	let after: string | undefined = '';
	let failures = 0;
	let hasAnswer = false;
	while (after !== undefined && failures < PAGE_ATTEMPTS && !signal.aborted) {
		const [known] = random.sample(members().filter(({status}) => status === 'alive'), 1);
		const address: string | undefined = hasAnswer ? known?.address ?? untried.pop() : untried.pop();
		if (address === undefined) {
			break;
		}

		try {
			const {page, next, isBusy = false} = await readPage(address, after);
			load(page);
			hasAnswer = true;
			after = next;
			failures += isBusy ? 1 : 0;
			if (isBusy) {
				await clock.sleep(PAGE_RETRY_MS, signal);
			}
		} catch {
			failures += hasAnswer ? 1 : 0;
		}
	}

	if (!hasAnswer) {
		log.info('No seed answered; the process waits for others to join.', {seeds});
	} else if (after !== undefined) {
		log.warn('The member table was not read to its end; gossip brings the rest.');
	}

	return hasAnswer;
};
