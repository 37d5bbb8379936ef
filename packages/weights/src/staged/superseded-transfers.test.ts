import {SILENT_LOG} from '@yuccawood/common';
import {VirtualClock, VirtualTime} from '@yuccawood/membership/testing';
import {expect} from 'chai';
import {SupersededTransferCanceller} from './superseded-transfers.js';

const VERSION_BYTES = 2_400_000;
const LINK_BYTES_PER_SECOND = 800_000;
const USABLE_MS = 8400;

describe('SupersededTransferCanceller', () => {
	let time: VirtualTime;
	let missingBytes: number;
	let cancelledAt: number | undefined;

	/** Follows an older version set at 0 and a newer one set 2 s later, until the time. */
	const run = async (untilMs: number): Promise<void> => {
		const stopping = new AbortController();
		const canceller = new SupersededTransferCanceller({
			linkBytesPerSecond: LINK_BYTES_PER_SECOND, usableMs: USABLE_MS,
			pendingTransfers: () => cancelledAt === undefined
				? [{
					transfer: {version: 2, learnedAt: 0}, cancel() {
						cancelledAt = time.now;
					},
				}]
				: [],
			missingBytesOf: version => version === 2 ? missingBytes : VERSION_BYTES,
			sizeBytesOf: () => VERSION_BYTES,
			clock: new VirtualClock(time), log: SILENT_LOG,
		});
		await time.advance(2000);
		void canceller.cancelUseless({version: 3, learnedAt: 2000}, stopping.signal);
		await time.advance(untilMs - 2000);
		stopping.abort();
	};

	beforeEach(() => {
		time = new VirtualTime();
		missingBytes = VERSION_BYTES;
		cancelledAt = undefined;
	});

	describe('an origin that fails after both versions were set', () => {
		it('gives the older version up once it could not serve before the bound of the newer one, before any piece of that is held', async () => {
			await run(10_000);
			// 10.4 s is the bound, 3 s the transfer at the line rate, and 0.6 s the switch.
			expect(cancelledAt).to.be.within(6750, 7100);
		});

		it('keeps it as long as it could', async () => {
			await run(6500);
			expect(cancelledAt).to.equal(undefined);
		});

		it('keeps it when few pieces are missing', async () => {
			missingBytes = VERSION_BYTES / 10;
			await run(9000);
			expect(cancelledAt).to.equal(undefined);
		});
	});
});
