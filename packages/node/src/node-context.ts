/** What entries and agents share: settings, log, metrics, store, peers. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	BoundedOutput, createLog, describeError, PeerClient, PeerServer, PrometheusMetrics, SystemClock, systemRandom, type Clock, type Log, type Random,
} from '@yuccawood/common';
import {
	BULKY_TIMEOUT_MS, FleetView, PEER_CALL_TIMEOUT_MS, StoreFollower, type AskPeer, type PartState, type StoreItem, type StorePart,
} from '@yuccawood/fleet';
import {
	parseNodeSettings, PlatformItemDecoder, SETTINGS_VARIABLE, StoreClient, type NodeSettings,
} from '@yuccawood/platform';
import {TargetAgeExchange} from './target-ages.js';
import {SETTINGS_CHECK_MS, STORE_TIMEOUT_MS, WATCH_SLACK_MS} from './constants.js';

export type NodeContext = {
	/** Settings in force; a change of the file replaces them. */
	readonly settings: () => NodeSettings;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: PrometheusMetrics;
	readonly store: StoreClient;
	readonly view: FleetView;
	readonly follower: StoreFollower;
	readonly peers: PeerClient;
	readonly peerServer: PeerServer;

	/** Peer address of the process of the system on a VM. */
	readonly peerAddress: (ip: string) => string;
	readonly close: () => Promise<void>;
};

const CHANGES_METHOD = 'fleet.changesSince';

const settingsPath = (): string => process.env[SETTINGS_VARIABLE] ?? '/etc/yuccawood/local.conf';

/** @throws {Error} if the file cannot be read */
const readSettings = (): ReturnType<typeof parseNodeSettings> => parseNodeSettings(settingsPath(), readFileSync(settingsPath(), 'utf8'));

/** Settings as the file has them now; nothing, with a line in the log, when they cannot be used. */
const rereadSettings = (log: Log): NodeSettings | undefined => {
	try {
		const result = readSettings();
		if (result.ok) {
			return result.val;
		}

		log.error('The settings cannot be used; the ones in force stay.', {error: result.val.message});
	} catch (error) {
		log.error('The settings file cannot be read; the settings in force stay.', {path: settingsPath(), error: String(error)});
	}

	return undefined;
};

/** Asks one random peer for changes, of the first group that has one that answers. */
const createAskPeer = ({peers, random, log, addresses}: {
	readonly peers: PeerClient;
	readonly random: Random;
	readonly log: Log;
	readonly addresses: () => ReadonlyArray<readonly string[]>;
}): AskPeer => async (parts, isBulky) => {
	// A call that takes too long ends all others over the same connections.
	const options = isBulky ? {timeoutMs: BULKY_TIMEOUT_MS, fresh: true} : {timeoutMs: PEER_CALL_TIMEOUT_MS};
	for (const group of addresses()) {
		for (const address of random.sample(group, 1)) {
			try {
				return await peers.call<readonly StoreItem[]>(address, CHANGES_METHOD, {parts}, options);
			} catch (error) {
				log.info('A peer did not answer; another one is asked.', {address, method: CHANGES_METHOD, error: describeError(error)});
			}
		}
	}

	return undefined;
};

/**
@param parts parts of the store that the process follows
@param checkedPart name of a small part that shows whether its watch went silent, when the process does not follow the whole store
@param peerAddresses peers that may know changes while the store cannot be reached, those that know all parts first
@throws {DecodeError} if there are no usable settings; the process cannot run without
*/
export const createNode = ({parts, checkedPart, peerAddresses}: {
	readonly parts: readonly StorePart[];
	readonly checkedPart?: string;
	readonly peerAddresses: (view: FleetView, settings: NodeSettings) => ReadonlyArray<readonly string[]>;
}): NodeContext => {
	const clock = new SystemClock();
	const startedAt = clock.monotonic();
	const random = systemRandom();
	const first = readSettings();
	if (first.err) {
		throw first.val;
	}

	let settings = first.val;
	const output = new BoundedOutput(process.stdout);
	const log = createLog({format: 'json', destination: output, fields: {vm: settings.vm}});

	const metrics = new PrometheusMetrics();
	const store = new StoreClient({address: settings.storeAddress, timeoutMs: STORE_TIMEOUT_MS, watchSlackMs: WATCH_SLACK_MS});
	const view = new FleetView({
		clock, log,
		// Bounds hold for a process from `stableMs` after its start on, however late it learns of a version.
		initialTargetAgeMs: () => settings.versionBoundMs - Math.max(0, startedAt + settings.stableMs - clock.monotonic()),
	});
	const peers = new PeerClient({connectTimeoutMs: PEER_CALL_TIMEOUT_MS});
	const peerServer = new PeerServer();
	const follower = new StoreFollower({
		source: store, decoder: new PlatformItemDecoder(), view, parts, checkedPart, clock, random, log, metrics,
		askPeer: createAskPeer({
			peers, random, log, addresses: () => peerAddresses(view, settings),
		}),
	});
	new TargetAgeExchange({
		view, peers, peerServer, random, log: log.part('fleet'), addresses: () => peerAddresses(view, settings)[0],
		region: settings.region, regions: [...new Set(settings.regions.values())],
	}).start();
	peerServer.method(CHANGES_METHOD, ({parts}: {readonly parts: readonly PartState[]}) => parts.flatMap(part => follower.items.changesSince(part)));
	const reload = (cause: string): void => {
		const next = rereadSettings(log);
		if (next && JSON.stringify(next) !== JSON.stringify(settings)) {
			settings = next;
			log.audit('Settings are reloaded.', {cause});
		} else if (cause === 'signal') {
			log.info('Settings are unchanged after SIGHUP.');
		}
	};

	process.on('SIGHUP', () => {
		reload('signal');
	});
	const settingsTimer = setInterval(() => {
		reload('file changed');
	}, SETTINGS_CHECK_MS);
	process.on('unhandledRejection', reason => {
		log.error('A promise was rejected without a handler.', {error: reason instanceof Error ? reason.stack : String(reason)});
	});
	process.on('uncaughtException', error => {
		log.error('An error was not caught.', {error: error.stack});
	});
	return {
		settings: () => settings,
		clock, random, log, metrics, store, view, follower, peers, peerServer,
		peerAddress: ip => `${ip}:${settings.firstPeerPort}`,
		async close() {
			clearInterval(settingsTimer);
			view.close();
			await Promise.all([store.close(), peers.close(), peerServer.close()]);
		},
	};
};
