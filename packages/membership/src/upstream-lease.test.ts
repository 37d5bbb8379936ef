import {
	Err, MemoryMetrics, Ok, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {PlatformError, type KeyValueService, type PlatformErrorKind} from '@yuccawood/interfaces';
import {expect} from 'chai';
import {OrderLock} from './order-lock.js';
import {VirtualClock, VirtualTime} from './testing/index.js';
import {UpstreamLease} from './upstream-lease.js';

type Entry = {readonly value: string; readonly version: number; readonly lease: string};

/** Returns the fault to inject into a call, if any. With `lost` the call takes effect and its answer is lost. */
type Faults = {readonly of: (call: string) => PlatformErrorKind | 'lost' | undefined};

/** Key-value service with leases and one key, in virtual time. Faults can be injected into each call. */
class LeaseService {
	readonly keyValue: Pick<KeyValueService, 'read' | 'write' | 'grantLease' | 'renewLease' | 'revokeLease'> = {
		read: async key => this.#run('read', () => {
			this.#removeExpired();
			return Ok(this.#entry && {key, ...this.#entry});
		}),
		write: async (_key, value, {expectedVersion = 0, lease = ''} = {}) => this.#run('write', () => {
			this.#removeExpired();
			if ((this.#entry?.version ?? 0) !== expectedVersion || !this.#expiryTimes.has(lease)) {
				return Err(platformError('conflict'));
			}

			this.#entry = {value, version: ++this.#writes, lease};
			return Ok(this.#writes);
		}),
		grantLease: async ttlMs => this.#run('grantLease', () => {
			const id = `lease-${++this.#grants}`;
			this.#expiryTimes.set(id, this.#time.now + ttlMs);
			return Ok({id, fencingNumber: this.#grants, ttlMs});
		}),
		renewLease: async id => this.#run('renewLease', () => {
			this.#removeExpired();
			if (!this.#expiryTimes.has(id)) {
				return Err(platformError('lease-expired'));
			}

			this.#expiryTimes.set(id, this.#time.now + 10_000);
			return Ok(10_000);
		}),
		revokeLease: async id => this.#run('revokeLease', () => {
			this.#expiryTimes.delete(id);
			this.#removeExpired();
			return Ok(undefined);
		}),
	};

	faults: Faults = {of: () => undefined};
	readonly #time: VirtualTime;
	readonly #expiryTimes = new Map<string, number>();
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

		return Err(platformError(fault === 'lost' ? 'unknown-outcome' : fault)) as Value;
	}

	#removeExpired(): void {
		for (const [id, expiryTime] of this.#expiryTimes) {
			if (expiryTime <= this.#time.now) {
				this.#expiryTimes.delete(id);
			}
		}

		if (this.#entry && !this.#expiryTimes.has(this.#entry.lease)) {
			this.#entry = undefined;
		}
	}
}

const platformError = (kind: PlatformErrorKind): PlatformError => new PlatformError({kind, detail: 'Injected.', remedy: 'None.'});

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
			keyValue: service.keyValue, vmId: 'engine-1', owner, clock, log: SILENT_LOG, metrics: new MemoryMetrics(), engineChecksFencing: checksFencing, orderLock,
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

	/** The fencing number that the lease gives out, or the kind of its error. */
	const fencingOutcome = ({currentFencingNumber: fencing}: UpstreamLease): string => {
		const answer = fencing();
		return answer.ok ? `number ${answer.val}` : answer.val.kind;
	};

	it('keeps its fencing number while it renews', async () => {
		const {lease} = await start();
		await time.advance(60_000);
		expect(fencingOutcome(lease)).to.equal('number 1');
		expect(lease.state).to.equal('held');
	});

	it('releases the lease when it stops, and the next agent gets it at once with a higher number', async () => {
		const {lease, stop} = await start();
		stop();
		await lease.stopped();
		const second = await start({owner: 'second'});
		expect(fencingOutcome(second.lease)).to.equal('number 2');
		expect(fencingOutcome(lease)).to.equal('not-held');
	});

	const resumeAfterExpiry = async (checksFencing: boolean): Promise<void> => {
		const {lease, clock} = await start({checksFencing});
		await time.advance(1000);
		clock.freeze();
		await time.advance(60_000);
		// A process that was paused sees this state after it resumes and before its first renewal.
		expect(fencingOutcome(lease)).to.equal('expired');
		const second = await start({owner: 'second'});
		expect(fencingOutcome(second.lease)).to.equal('number 2');
		clock.resume();
		await time.advance(1000);
		expect(fencingOutcome(lease)).to.equal('not-held');
	};

	for (const checksFencing of [true, false]) {
		it(`gives no number to a process that resumes after its lease expired, with an engine that ${checksFencing ? 'checks' : 'ignores'} fencing`, async () => resumeAfterExpiry(checksFencing));
	}

	it('keeps giving its number for an engine that checks fencing while the key-value service is down', async () => {
		const checking = await start();
		await time.advance(1000);
		service.faults = {of: () => 'unavailable'};
		await time.advance(60_000);
		expect(fencingOutcome(checking.lease)).to.equal('number 1');
		expect(checking.lease.state).to.equal('unconfirmed');
		service.faults = {of: () => undefined};
		await time.advance(5000);
		expect(fencingOutcome(checking.lease)).to.equal('number 2');
	});

	it('stops orders before the lease expires for an engine that ignores fencing while the key-value service is down', async () => {
		const {lease} = await start({checksFencing: false});
		service.faults = {of: () => 'unavailable'};
		await time.advance(8900);
		expect(fencingOutcome(lease)).to.equal('number 1');
		await time.advance(200);
		expect(fencingOutcome(lease)).to.equal('expired');
		service.faults = {of: () => undefined};
		await time.advance(15_000);
		expect(fencingOutcome(lease)).to.equal('number 2');
	});

	const loseAnswers = async (call: string): Promise<void> => {
		let count = 0;
		service.faults = {of: name => name === call && count++ % 2 === 0 ? 'lost' : undefined};
		const {lease} = await start();
		await time.advance(30_000);
		expect(fencingOutcome(lease)).to.match(/^number/);
		const other = await start({owner: 'second'});
		await time.advance(30_000);
		expect(fencingOutcome(other.lease)).to.equal('not-held');
	};

	for (const call of ['grantLease', 'write', 'renewLease', 'read', 'revokeLease']) {
		it(`recovers when the answer to ${call} is lost every second time`, async () => loseAnswers(call));
	}

	it('does not get the lease while a paused agent holds the order lock', async () => {
		const first = await start({checksFencing: false});
		const {port} = first.orderLock!;
		first.clock.freeze();
		await time.advance(60_000);
		const second = await start({owner: 'second', checksFencing: false, port});
		await time.advance(5000);
		expect(fencingOutcome(second.lease)).to.equal('not-held');
		await first.orderLock!.release();
		// Binding the port takes real time, not virtual time.
		for (let attempt = 0; attempt < 200 && second.lease.state === 'none'; attempt++) {
			await time.advance(1000);
			await new SystemClock().sleep(5);
		}

		expect(fencingOutcome(second.lease)).to.match(/^number/);
	});

	it('throws without an order lock for an engine that ignores fencing', () => {
		expect(() => new UpstreamLease({
			keyValue: service.keyValue, vmId: 'engine-1', owner: 'first', clock: new VirtualClock(time), log: SILENT_LOG, metrics: new MemoryMetrics(), engineChecksFencing: false,
		})).to.throw('order lock');
	});
});
