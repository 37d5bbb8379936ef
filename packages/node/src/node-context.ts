/** Objects that entries and agents have in common: settings, log, metrics, store client, peer connections. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {
	DroppingOutput, createLog, describeError, PeerClient, PeerServer, PROCESS_START_MS, PrometheusMetrics, SystemClock, systemRandom, type CallOptions, type Clock, type Log, type Random,
} from '@yuccawood/common';
import {
	BULKY_TIMEOUT_MS, FleetView, PEER_CALL_TIMEOUT_MS, StoreFollower, type AskPeer, type PeerQuestion, type StorePart,
} from '@yuccawood/fleet';
import {
	parseNodeSettings, PlatformItemDecoder, SETTINGS_VARIABLE, StoreClient, type NodeSettings,
} from '@yuccawood/platform';
import {TargetAgeExchange} from './target-age-exchange.js';
import {
	CHECK_INTERVAL_FRACTION, SETTINGS_CHECK_MS, STORE_TIMEOUT_MS, WATCH_SLACK_MS,
} from './constants.js';

export type NodeContext = {
	/** Current settings, which are replaced when the settings file changes. */
	readonly settings: () => NodeSettings;

	/** Reads the settings file now. If it is invalid, the current settings stay. */
	readonly reloadSettings: (cause: 'signal' | 'file changed' | 'stop') => void;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: PrometheusMetrics;
	readonly store: StoreClient;
	readonly view: FleetView;
	readonly follower: StoreFollower;
	readonly peers: PeerClient;
	readonly peerServer: PeerServer;

	/** Peer address of the entry or agent on the VM with this IP address. */
	readonly peerAddress: (ip: string) => string;
	readonly close: () => Promise<void>;
};

const CHANGES_METHOD = 'fleet.changesSince';

const settingsPath = (): string => process.env[SETTINGS_VARIABLE] ?? '/etc/yuccawood/local.conf';

/** @throws {Error} if the file cannot be read */
const readSettings = (): ReturnType<typeof parseNodeSettings> => parseNodeSettings(settingsPath(), readFileSync(settingsPath(), 'utf8'));

/** Reads the settings file again. Logs an error and returns undefined if the file cannot be read or is invalid. */
const rereadSettings = (log: Log): NodeSettings | undefined => {
	try {
		const result = readSettings();
		if (result.ok) {
			return result.val;
		}

		log.error('The settings file is invalid; keeping the current settings. Correct the file.', {error: result.val.message});
	} catch (error) {
		log.error('The settings file cannot be read; keeping the current settings.', {path: settingsPath(), error: String(error)});
	}

	return undefined;
};

/** Creates a function that asks a random peer of each group in turn for changes, until one answers. */
const createAskPeer = ({peers, random, log, addresses}: {
	readonly peers: PeerClient;
	readonly random: Random;
	readonly log: Log;
	readonly addresses: () => ReadonlyArray<readonly string[]>;
}): AskPeer => async (parts, isBulky) => {
	// A call that times out also ends the other calls on its connection, so large answers use a connection of their own.
	const options: CallOptions = isBulky ? {timeoutMs: BULKY_TIMEOUT_MS, useNewConnection: true} : {timeoutMs: PEER_CALL_TIMEOUT_MS};
	for (const group of addresses()) {
		for (const address of random.sample(group, 1)) {
			try {
				return await peers.call<unknown>(address, CHANGES_METHOD, {parts, wantsKnown: true} satisfies PeerQuestion, options);
			} catch (error) {
				log.info('A peer did not answer; trying another one.', {address, method: CHANGES_METHOD, error: describeError(error)});
			}
		}
	}

	return undefined;
};

/**
@param parts parts of the store that the process follows
@param checkedPart name of a small part that is read to detect a watch that no longer reports changes; for processes that do not follow the whole store
@param peerAddresses groups of peers to ask for changes while the store is unreachable; the first group follows all parts
@throws {DecodeError} if the settings are invalid, without which the process cannot run
*/
export const createNode = ({parts, checkedPart, peerAddresses}: {
	readonly parts: (settings: NodeSettings) => readonly StorePart[];
	readonly checkedPart?: string;
	readonly peerAddresses: (view: FleetView, settings: NodeSettings) => ReadonlyArray<readonly string[]>;
}): NodeContext => {
	const clock = new SystemClock();
	const random = systemRandom();
	const first = readSettings();
	if (first.err) {
		throw first.val;
	}

	let settings = first.val;
	const output = new DroppingOutput(process.stdout);
	const log = createLog({format: 'json', destination: output, fields: {vm: settings.vm}});

	const metrics = new PrometheusMetrics();
	const store = new StoreClient({address: settings.storeAddress, timeoutMs: STORE_TIMEOUT_MS, watchSlackMs: WATCH_SLACK_MS});
	const view = new FleetView({
		clock, log, metrics, heartbeatMs: first.val.upstreamHeartbeatMs,
		// When a version was set that the store already holds is unknown. Its staleness bound is assumed to end `stableMs`
		// after the start of this process, or immediately if that time has passed. Loading the modules may take a good part
		// of it.
		initialTargetAgeMs: () => settings.versionBoundMs - Math.max(0, PROCESS_START_MS + settings.stableMs - clock.monotonic()),
	});
	const peers = new PeerClient({connectTimeoutMs: PEER_CALL_TIMEOUT_MS});
	const peerServer = new PeerServer();
	const follower = new StoreFollower({
		source: store, decoder: new PlatformItemDecoder(), view, parts: parts(first.val), checkedPart, clock, random, log, metrics,
		// Processes that follow only the versions, whose bound is longer, check less often.
		checkIntervalMs: first.val.changeBoundMs * (checkedPart === undefined ? CHECK_INTERVAL_FRACTION : 2 * CHECK_INTERVAL_FRACTION),
		askPeer: createAskPeer({
			peers, random, log, addresses: () => peerAddresses(view, settings),
		}),
	});
	new TargetAgeExchange({
		view, peers, peerServer, clock, random, log: log.part('fleet'), addresses: () => peerAddresses(view, settings),
		region: settings.region, regions: [...new Set(settings.regions.values())],
	}).start();
	peerServer.method(CHANGES_METHOD, (question: PeerQuestion) => follower.answerPeer(question));
	const reloadSettings: NodeContext['reloadSettings'] = cause => {
		const next = rereadSettings(log);
		if (next && JSON.stringify(next) !== JSON.stringify(settings)) {
			settings = next;
			log.audit('Settings are reloaded.', {cause});
		} else if (cause === 'signal') {
			log.info('Settings are unchanged after SIGHUP.');
		}
	};

	process.on('SIGHUP', () => {
		reloadSettings('signal');
	});
	const settingsTimer = setInterval(() => {
		reloadSettings('file changed');
	}, SETTINGS_CHECK_MS);
	process.on('unhandledRejection', reason => {
		log.error('A promise was rejected without a handler.', {error: reason instanceof Error ? reason.stack : String(reason)});
	});
	process.on('uncaughtException', error => {
		log.error('An error was not caught.', {error: error.stack});
	});
	return {
		settings: () => settings,
		reloadSettings,
		clock, random, log, metrics, store, view, follower, peers, peerServer,
		peerAddress: ip => `${ip}:${settings.firstPeerPort}`,
		async close() {
			clearInterval(settingsTimer);
			view.close();
			await Promise.all([store.close(), peers.close(), peerServer.close()]);
		},
	};
};
