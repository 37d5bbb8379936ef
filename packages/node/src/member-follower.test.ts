import {
	Ok, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {FleetView, type StoreSnapshot} from '@yuccawood/fleet';
import {expect} from 'chai';
import {MemberFollower, type MemberFollowerOptions} from './member-follower.js';

const clock = new SystemClock();
const NOTHING: StoreSnapshot = {items: [], revision: 1, transfer: {bytes: 0, milliseconds: 0}};

describe('MemberFollower', () => {
	let watches: number;
	let stopping: AbortController;
	let follower: MemberFollower;

	beforeEach(() => {
		watches = 0;
		stopping = new AbortController();
		// Upstreams register one after the other, so each watch reports a change at once.
		const store: MemberFollowerOptions['store'] = {
			snapshot: async () => Ok(NOTHING),
			async watch() {
				watches++;
				return Ok({...NOTHING, revision: 1 + watches});
			},
		};
		follower = new MemberFollower({
			store, follower: {take: () => undefined, items: {keys: []} as unknown as MemberFollowerOptions['follower']['items']},
			view: new FleetView({clock, log: SILENT_LOG}), address: '127.0.0.1:1', startedAt: () => 1, clock, log: SILENT_LOG,
		});
	});

	afterEach(() => {
		stopping.abort();
	});

	it('makes few calls while the whole fleet registers, if nothing waits for the entry of its own engine', async () => {
		void follower.run(() => true, stopping.signal);
		await clock.sleep(800);
		expect(watches).to.equal(0);
	});

	it('follows the list closely while a transfer waits for that entry', async () => {
		void follower.run(() => true, stopping.signal);
		await clock.sleep(200);
		void follower.awaitOwnEntry();
		await clock.sleep(800);
		expect(watches).to.be.within(3, 8);
	});
});
