import {Err, Ok, SILENT_LOG} from '@yuccawood/common';
import {PlatformError} from '@yuccawood/interfaces';
import {expect} from 'chai';
import {StoreClaim} from './handover-claim.js';

/** Time between two rolls of the entries, and entries in each, in the day of the review. */
const ROLL_INTERVAL_MS = 22_000;
const ENTRIES = 3;

/** Store with one key on a virtual clock. */
class OneKeyStore {
	now = 0;
	readonly #endOf = new Map<number, number>();
	readonly #maxLeaseMs: number;
	#keyLease: number | undefined;

	constructor(maxLeaseMs = Number.POSITIVE_INFINITY) {
		this.#maxLeaseMs = maxLeaseMs;
	}

	readonly grantLease = async (wantedMs: number) => {
		const ttlMs = Math.min(wantedMs, this.#maxLeaseMs);
		const id = this.#endOf.size + 1;
		this.#endOf.set(id, this.now + ttlMs);
		return Ok({id, ttlMs});
	};

	readonly endLease = async (id: number) => {
		this.#endOf.set(id, this.now);
		return Ok(undefined);
	};

	readonly replace = async ({lease}: {readonly lease: number}) => {
		if (this.#keyLease !== undefined && this.#endOf.get(this.#keyLease)! > this.now) {
			return Err(new PlatformError({kind: 'conflict', detail: 'The key exists.', remedy: 'None.'}));
		}

		this.#keyLease = lease;
		return Ok(undefined);
	};
}

describe('StoreClaim', () => {
	let store: OneKeyStore;

	const claimOf = (vm: string): StoreClaim => new StoreClaim({store, vm, log: SILENT_LOG});

	beforeEach(() => {
		store = new OneKeyStore();
	});

	/** Number of entries that get the claim in three rolls. */
	const grantedInRolls = async (): Promise<number> => {
		let granted = 0;
		for (let roll = 0; roll < 3; roll++) {
			for (let entry = 0; entry < ENTRIES; entry++) {
				store.now = (roll * ROLL_INTERVAL_MS) + (entry * 1000);
				if (await claimOf(`entry-${entry}`).take()) {
					granted++;
				}
			}
		}

		return granted;
	};

	it('is granted to one entry in three rolls, of which the platform counts all that stayed on', async () => {
		expect(await grantedInRolls()).to.equal(1);
	});

	// Guards against an entry in each roll that counts as ready 4 s after SIGTERM, because the store ends leases sooner than asked.
	it('is granted to none where the store ends leases before the rolls are over', async () => {
		store = new OneKeyStore(10_000);
		expect(await grantedInRolls()).to.equal(0);
	});

	it('can be taken again once it was given back', async () => {
		const first = claimOf('one');
		expect(await first.take()).to.equal(true);
		expect(await claimOf('two').take()).to.equal(false);
		await first.giveBack();
		expect(await claimOf('two').take()).to.equal(true);
	});

	it('does not end the claim of another entry', async () => {
		await claimOf('one').take();
		const second = claimOf('two');
		await second.take();
		await second.giveBack();
		expect(await claimOf('three').take()).to.equal(false);
	});
});
