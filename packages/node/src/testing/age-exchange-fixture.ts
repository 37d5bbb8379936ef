/** Processes that exchange the ages of target versions, without their stores. */
import {
	PeerClient, PeerServer, seededRandom, SILENT_LOG, SystemClock,
} from '@yuccawood/common';
import {FleetView} from '@yuccawood/fleet';
import {TargetAgeExchange} from '../target-age-exchange.js';

export const AGE_EXCHANGE_PORT = 17_731;
const clock = new SystemClock();

export class AgeExchangeFixture {
	readonly #closers: Array<() => Promise<void>> = [];

	/** Starts a process at the host, which knows peers at these addresses. */
	readonly start = async (host: string, addresses: readonly string[], {region = 'north', others = [], initialTargetAgeMs = 0, answerDelayMs = 0, listensLater = false}: {
		readonly region?: string;
		readonly others?: readonly string[];
		readonly initialTargetAgeMs?: number;

		/** Time that answers to peers need on their way. */
		readonly answerDelayMs?: number;

		/** Whether peers can't connect until `listen` is called. */
		readonly listensLater?: boolean;
	} = {}): Promise<FleetView & {readonly listen: () => Promise<void>}> => {
		const view = new FleetView({clock, log: SILENT_LOG, initialTargetAgeMs: () => initialTargetAgeMs});
		const peers = new PeerClient({connectTimeoutMs: 300});
		const peerServer = new PeerServer();
		new TargetAgeExchange({
			view, peers, peerServer, clock, addresses: () => [addresses, others], region, regions: ['north', 'south'], random: seededRandom(1), log: SILENT_LOG,
		}).start();
		if (answerDelayMs > 0) {
			peerServer.method('fleet.targetAges', async () => {
				const answer = {region, ages: view.targetAges};
				await clock.sleep(answerDelayMs);
				return answer;
			});
		}

		const listen = async (): Promise<void> => {
			await peerServer.listen(host, AGE_EXCHANGE_PORT);
			this.onClose(async () => peerServer.close());
		};

		if (!listensLater) {
			await listen();
		}

		this.onClose(async () => {
			view.close();
			await peers.close();
		});
		return Object.assign(view, {listen});
	};

	onClose(close: () => Promise<void>): void {
		this.#closers.push(close);
	}

	async close(): Promise<void> {
		for (const close of this.#closers) {
			await close();
		}
	}
}

/** Tells a process of a target version, as its store would. */
export const setTarget = (view: FleetView, version: number, ageMs = 0, context: {readonly ageBoundMs?: number; readonly sinceUnreachableMs?: number; readonly isDelivered?: boolean} = {}): void => {
	view.apply({kind: 'target', model: 'm', version}, {
		revision: version, mayBeLeaseExpiry: false, ageMs, ...context,
	});
};
