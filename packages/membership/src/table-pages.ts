import type {Clock, Log, Random} from '@yuccawood/common';
import {ByteBudget} from './byte-budget.js';
import {
	PAGE_BYTES, PAGE_BURST_BYTES, PAGE_BYTES_PER_SECOND, PAGE_RETRY_DELAY_MS, MAX_PAGE_FAILURES,
} from './constants.js';
import type {MemberDirectory} from './member-directory.js';
import {recordBytes, type ExchangeMessage} from './messages.js';
import type {MemberRecord} from './types.js';

/** The part of an answer to a message with `pageAfter`. */
export type TablePage = {
	/** Records in the order of their ids. */
	readonly page: readonly MemberRecord[];

	/** Value of `pageAfter` for the next page; absent on the last page. */
	readonly next?: string;

	/** True if the member has used up its byte budget for pages. The page is then empty and another member should be asked. */
	readonly isBusy?: boolean;
};

export type PagedAnswer = ExchangeMessage & Partial<TablePage>;

/** Serves the table in pages to starting processes. A byte budget bounds the cost when many processes start at once. */
export class TablePages {
	readonly #directory: MemberDirectory;
	readonly #budget: ByteBudget;

	constructor({directory, clock}: {readonly directory: MemberDirectory; readonly clock: Clock}) {
		this.#directory = directory;
		this.#budget = new ByteBudget({clock, bytesPerSecond: PAGE_BYTES_PER_SECOND, burstBytes: PAGE_BURST_BYTES});
	}

	/** The page of records whose ids sort after the given one. */
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
Reads the whole table page by page: the first page from a seed, the others from random members to spread the load.

@returns false if no seed answered.
*/
export const readTable = async ({seeds, ownAddress, members, readPage, load, clock, random, log, signal}: {
	readonly seeds: readonly string[];
	readonly ownAddress: string;
	readonly members: () => readonly MemberRecord[];

	/** Requests a page from the process at the address and applies the rest of its answer. */
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
	while (after !== undefined && failures < MAX_PAGE_FAILURES && !signal.aborted) {
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
				await clock.sleep(PAGE_RETRY_DELAY_MS, signal);
			}
		} catch {
			failures += hasAnswer ? 1 : 0;
		}
	}

	if (!hasAnswer) {
		log.info('No seed answered; waiting for other processes to join.', {seeds});
	} else if (after !== undefined) {
		log.warn('Member table was read only in part; gossip delivers the rest.');
	}

	return hasAnswer;
};
