import net, {type AddressInfo, type Socket} from 'node:net';
import {SystemClock} from '@yuccawood/common';
import {expect} from 'chai';
import {EntryFleet, isReady} from './testing/entry-fleet.js';

const IPS = ['127.0.47.1', '127.0.47.2', '127.0.47.3'] as const;

/**
The load balancer asks once a second and takes a VM out after two misses, which must have come 4 s after SIGTERM although each
question may come a quarter of a second late. The test's own question takes up to 0.1 s.
*/
const LAST_READY_MS = 1600;

const ASK_INTERVAL_MS = 15;

const clock = new SystemClock();

/** Peer that takes connections and never answers. */
class SilentPeer {
	readonly #sockets = new Set<Socket>();
	readonly #server = net.createServer(socket => {
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
	});

	async listen(): Promise<string> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
	}

	async close(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise(resolve => {
			this.#server.close(resolve);
		});
	}
}

describe('entries that are stopped together', () => {
	let fleet: EntryFleet;
	let silentPeer: SilentPeer;
	let silentAddress: string;

	beforeEach(async () => {
		fleet = new EntryFleet({ips: IPS});
		silentPeer = new SilentPeer();
		silentAddress = await silentPeer.listen();
		await fleet.start();
	});

	afterEach(async () => {
		await fleet.close();
		await silentPeer.close();
	});

	/** Milliseconds from SIGTERM to the last 200 that each entry answered. */
	const lastReadyTimes = async (): Promise<readonly number[]> => {
		await clock.sleep(500);
		const stoppedAt = clock.monotonic();
		for (const ip of IPS) {
			fleet.stop(ip);
		}

		return Promise.all(IPS.map(async ip => {
			let lastReadyMs = 0;
			while (clock.monotonic() - stoppedAt < 4000) {
				if (await isReady(ip)) {
					lastReadyMs = clock.monotonic() - stoppedAt;
				}

				await clock.sleep(ASK_INTERVAL_MS);
			}

			return lastReadyMs;
		}));
	};

	it('count as ready for 1.5 s at most when their calls to each other get no answer', async () => {
		for (const ip of IPS) {
			fleet.listAt(ip, silentAddress);
		}

		expect(Math.max(...await lastReadyTimes())).to.be.lessThan(LAST_READY_MS);
	}).timeout(30_000);

	it('count as ready for 1.5 s at most when the store has lost the list of entries', async () => {
		for (const ip of IPS) {
			fleet.store.remove(`yuccawood/entries/${ip}`);
		}

		expect(Math.max(...await lastReadyTimes())).to.be.lessThan(LAST_READY_MS);
	}).timeout(30_000);
});
