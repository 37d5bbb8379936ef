import {
	Err, MemoryMetrics, Ok, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {PlatformError, type KeyValueService, type PlatformErrorKind} from '@yuccawood/interfaces';
import {expect} from 'chai';
import {OrderLock} from './order-lock.js';
import {VirtualClock, VirtualTime} from './testing/index.js';
import {UpstreamLease} from './upstream-lease.js';

type Entry = {readonly value: string; readonly version: number; readonly lease: string};

/** Fault of a call, if any; `lost` runs the call and loses its answer. */
type Faults = {readonly of: (call: string) => PlatformErrorKind | 'lost' | undefined};

/** Key-value service in virtual time with leases. Faults are chosen for each call. */
class LeaseService {
	readonly keyValue: Pick<KeyValueService, 'read' | 'write' | 'grantLease' | 'renewLease' | 'revokeLease'> = {
		read: async key => this.#run('read', () => {
			this.#expire();
			return Ok(this.#entry && {key, ...this.#entry});
		}),
		write: async (_key, value, {expectedVersion = 0, lease = ''} = {}) => this.#run('write', () => {
			this.#expire();
			if ((this.#entry?.version ?? 0) !== expectedVersion || !this.#ends.has(lease)) {
				return Err(failure('conflict'));
			}

			this.#entry = {value, version: ++this.#writes, lease};
			return Ok(this.#writes);
		}),
		grantLease: async ttlMs => this.#run('grantLease', () => {
			const id = `lease-${++this.#grants}`;
			this.#ends.set(id, this.#time.now + ttlMs);
			return Ok({id, fencingNumber: this.#grants, ttlMs});
		}),
		renewLease: async id => this.#run('renewLease', () => {
			this.#expire();
			if (!this.#ends.has(id)) {
				return Err(failure('lease-expired'));
			}

			this.#ends.set(id, this.#time.now + 10_000);
			return Ok(10_000);
		}),
		revokeLease: async id => this.#run('revokeLease', () => {
			this.#ends.delete(id);
			this.#expire();
			return Ok(undefined);
		}),
	};

	faults: Faults = {of: () => undefined};
	readonly #time: VirtualTime;
	readonly #ends = new Map<string, number>();
	#entry: Entry | undefined;
	#grants = 0;
	#writes = 0;

	constructor(time: VirtualTime) {
		this.#time = time;
	}

	#run<Value>(call: string, work: () => Value): Value {
		const fault = this.faults.of(call);
		if (fault === undefined) {
			return work();
		}

		if (fault === 'lost') {
			work();
		}

		return Err(failure(fault === 'lost' ? 'unknown-outcome' : fault)) as Value;
	}

	#expire(): void {
		for (const [id, end] of this.#ends) {
			if (end <= this.#time.now) {
				this.#ends.delete(id);
			}
		}

		if (this.#entry && !this.#ends.has(this.#entry.lease)) {
			this.#entry = undefined;
		}
	}
}

const failure = (kind: PlatformErrorKind): PlatformError => new PlatformError({kind, detail: 'Injected.', remedy: 'None.'});

describe('UpstreamLease', () => {
	let time: VirtualTime;
	let service: LeaseService;
	let controllers: AbortController[];
	let locks: OrderLock[];

	beforeEach(() => {
		time = new VirtualTime();
		service = new LeaseService(time);
		controllers = [];
		locks = [];
	});

	afterEach(async () => {
		for (const controller of controllers) {
			controller.abort();
		}

		await time.advance(10_000);
		await Promise.all(locks.map(async lock => lock.release()));
	});

	const start = async ({owner = 'first', checksFencing = true, port = 0} = {}) => {
		const clock = new VirtualClock(time);
		const controller = new AbortController();
		const orderLock = checksFencing ? undefined : new OrderLock({port});
		const lease = new UpstreamLease({
			keyValue: service.keyValue, vm: 'engine-1', owner, clock, log: SILENT_LOG, metrics: new MemoryMetrics(), checksFencing, orderLock,
		});
		controllers.push(controller);
		if (orderLock) {
			locks.push(orderLock);
		}

		await lease.start(controller.signal);
		return {
			lease, clock, orderLock, stop() {
				controller.abort();
			},
		};
	};

	const kindOf = ({fencing}: UpstreamLease): string => {
		const answer = fencing();
		return answer.ok ? `number ${answer.val}` : answer.val.kind;
	};

	it('keeps one number while it renews', async () => {
		const {lease} = await start();
		await time.advance(60_000);
		expect(kindOf(lease)).to.equal('number 1');
		expect(lease.state).to.equal('held');
	});

	it('gives the lease back when it stops, so that the next agent gets it at once with a higher number', async () => {
		const {lease, stop} = await start();
		stop();
		await lease.stopped();
		const second = await start({owner: 'second'});
		expect(kindOf(second.lease)).to.equal('number 2');
		expect(kindOf(lease)).to.equal('not-held');
	});

	const resumeLate = async (checksFencing: boolean): Promise<void> => {
		const {lease, clock} = await start({checksFencing});
		await time.advance(1000);
		clock.freeze();
		await time.advance(60_000);
		// Between resuming and the first renewal the process still believes that it holds the lease.
		expect(kindOf(lease)).to.equal('expired');
		const second = await start({owner: 'second'});
		expect(kindOf(second.lease)).to.equal('number 2');
		clock.resume();
		await time.advance(1000);
		expect(kindOf(lease)).to.equal('not-held');
	};

	for (const checksFencing of [true, false]) {
		it(`gives no number to a process that resumes after its lease ran out, with an engine that ${checksFencing ? 'checks' : 'ignores'} fencing`, async () => resumeLate(checksFencing));
	}

	it('lets only engines that check fencing go on while the key-value service is down', async () => {
		const checking = await start();
		await time.advance(1000);
		service.faults = {of: () => 'unavailable'};
		await time.advance(60_000);
		expect(kindOf(checking.lease)).to.equal('number 1');
		expect(checking.lease.state).to.equal('unconfirmed');
		service.faults = {of: () => undefined};
		await time.advance(5000);
		expect(kindOf(checking.lease)).to.equal('number 2');
	});

	it('stops orders before the lease ends for an engine that ignores fencing while the key-value service is down', async () => {
		const {lease} = await start({checksFencing: false});
		service.faults = {of: () => 'unavailable'};
		await time.advance(8900);
		expect(kindOf(lease)).to.equal('number 1');
		await time.advance(200);
		expect(kindOf(lease)).to.equal('expired');
		service.faults = {of: () => undefined};
		await time.advance(15_000);
		expect(kindOf(lease)).to.equal('number 2');
	});

	const loseAnswers = async (call: string): Promise<void> => {
		let count = 0;
		service.faults = {of: name => name === call && count++ % 2 === 0 ? 'lost' : undefined};
		const {lease} = await start();
		await time.advance(30_000);
		expect(kindOf(lease)).to.match(/^number/);
		const other = await start({owner: 'second'});
		await time.advance(30_000);
		expect(kindOf(other.lease)).to.equal('not-held');
	};

	for (const call of ['grantLease', 'write', 'renewLease', 'read', 'revokeLease']) {
		it(`recovers when the answer to ${call} is lost every second time`, async () => loseAnswers(call));
	}

	it('does not start next to a paused agent that holds the order lock', async () => {
		const first = await start({checksFencing: false});
		const {port} = first.orderLock!;
		first.clock.freeze();
		await time.advance(60_000);
		const second = await start({owner: 'second', checksFencing: false, port});
		await time.advance(5000);
		expect(kindOf(second.lease)).to.equal('not-held');
		await first.orderLock!.release();
		// Binding the port takes real time.
		for (let attempt = 0; attempt < 200 && second.lease.state === 'none'; attempt++) {
			await time.advance(1000);
			await new SystemClock().sleep(5);
		}

		expect(kindOf(second.lease)).to.match(/^number/);
	});

	it('refuses to be set up without an order lock for an engine that ignores fencing', () => {
		expect(() => new UpstreamLease({
			keyValue: service.keyValue, vm: 'engine-1', owner: 'first', clock: new VirtualClock(time), log: SILENT_LOG, metrics: new MemoryMetrics(), checksFencing: false,
		})).to.throw('order lock');
	});
});
