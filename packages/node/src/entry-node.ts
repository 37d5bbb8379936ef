/** Runs an entry: serves callers behind the load balancer and forwards their requests to upstreams. */
import http from 'node:http';
import process from 'node:process';
import {delay} from '@yuccawood/common';
import {CrashExchange} from '@yuccawood/crashes';
import {Gateway} from '@yuccawood/gateway';
import {ALL_PARTS, EVACUATIONS_PART, PlatformHeaderCodec} from '@yuccawood/platform';
import {ReportReader} from '@yuccawood/reports';
import {STOP_MARGIN_MS} from './constants.js';
import {CrashCountWriter} from './crash-count-writer.js';
import {EngineDirectoryPublisher} from './engine-directory-publisher.js';
import {StoreClaim} from './handover-claim.js';
import {serveMetrics} from './metrics-endpoint.js';
import {createNode} from './node-context.js';
import {EntryRegistration} from './entry-registration.js';
import {probePath} from './path-echo.js';
import {PlannedStop} from './planned-stop.js';
import {ReadinessExchange} from './readiness-exchange.js';

const splitAddress = (address: string): {readonly host: string; readonly port: number} => {
	const [host, port] = address.split(':');
	return {host, port: Number(port)};
};

export const runEntry = async (): Promise<void> => {
	const context = createNode({
		parts: ({evacuationBoundMs}) => evacuationBoundMs === undefined ? ALL_PARTS : [...ALL_PARTS, EVACUATIONS_PART],
		// Entries follow all parts of the store and are asked first. Agents follow the versions only.
		peerAddresses: (view, {firstPeerPort, seeds, ip}) => [
			[...new Set([...seeds.map(seed => `${seed}:${firstPeerPort}`), ...view.entries.values()])].filter(address => splitAddress(address).host !== ip),
			view.upstreams.filter(({model}) => model !== undefined).map(({address}) => `${splitAddress(address).host}:${firstPeerPort}`),
		],
	});
	const {settings, reloadSettings, view, store, log, metrics, clock, random, follower, peerServer} = context;
	const {vm, ip, callerAddress, readinessAddress, firstPeerPort, failureDomain, resendRatio, resendSlack, resendWindowMs} = settings();
	if (!callerAddress || !readinessAddress) {
		throw new Error('The settings contain no caller and readiness addresses. Run the entry role on a VM that callers connect to.');
	}

	const stopping = new AbortController();
	const otherAddresses = (): readonly string[] => [...view.entries].filter(([id]) => id !== vm).map(([, address]) => address);
	const crashPeers = new CrashExchange({
		peers: context.peers, peerServer, log, addresses: otherAddresses,
	});
	const others = new ReadinessExchange({
		peers: context.peers, peerServer, random, log, addresses: otherAddresses, isSelfListed: () => view.entries.has(vm),
	});
	const crashCounts = new CrashCountWriter({
		store, view, random, log,
	});
	const gateway = new Gateway({
		view, codec: new PlatformHeaderCodec(), selfId: vm, failureDomain, regions: () => settings().regions, coldBound: () => settings().coldBound, versionBoundMs: settings().versionBoundMs,
		retryBudget: {windowMs: resendWindowMs, ratio: resendRatio, slack: resendSlack},
		shareCrashCount: crashCounts.share, crashPeers,
		probePath: async address => probePath(context.peers, context.peerAddress(splitAddress(address).host)),
		clock, random, log, metrics,
	});
	crashPeers.start(gateway.crashReview);
	const stop = new PlannedStop({
		gateway, others, claim: new StoreClaim({store, vm, log}), clock, log,
	});
	const followsEvacuations = settings().evacuationBoundMs !== undefined;
	// Until it knows of the evacuations, the entry might send to upstreams that may get no requests.
	const canServe = (): boolean => gateway.canServe && (!followsEvacuations || follower.knows(EVACUATIONS_PART));
	let isListening = false;
	others.start(() => stop.state(isListening && canServe()));
	const reportReader = new ReportReader({
		onReport(report) {
			gateway.applyUpstreamReport(report);
		},
		clock, random, log, metrics,
	});
	view.onChange(change => {
		// The configuration says which upstreams are engines.
		if (change === 'upstreams' || change === 'entries' || change === 'configuration') {
			reportReader.follow(gateway.enginesInSubset.map(({address}) => context.peerAddress(splitAddress(address).host)));
		}
	});

	const readiness = http.createServer((request, response) => {
		request.resume();
		const status = canServe() && stop.isReady ? 200 : 503;
		if (stop.hasBegun) {
			log.info('Answered the load balancer while stopping.', {status});
		}

		response.writeHead(status, {'content-length': 0});
		response.end();
	});
	const readinessListen = splitAddress(readinessAddress);
	readiness.listen(readinessListen.port, readinessListen.host);
	await peerServer.listen(ip, firstPeerPort);
	const metricsServer = serveMetrics({
		metrics, host: ip, port: firstPeerPort + 1,
		gauges() {
			metrics.gauge('gateway.in_progress', gateway.inProgress);
			for (const [service, length] of gateway.queueLengths) {
				metrics.gauge('gateway.waiting', length, {service});
			}
		},
	});
	log.audit('Entry starts.', {vm, ip, failureDomain});
	const following = follower.run(stopping.signal);
	const presence = new EntryRegistration({
		store, id: vm, address: context.peerAddress(ip), log,
		// A stopping entry is to leave the list.
		isListed: () => stop.hasBegun || view.entries.has(vm),
	}).run(stopping.signal);
	const publishing = new EngineDirectoryPublisher({
		store, view, clock, random, log,
	}).run(stopping.signal);
	const callers = splitAddress(callerAddress);
	await gateway.listen(callers.host, callers.port);
	isListening = true;
	process.on('SIGTERM', () => {
		if (stop.hasBegun) {
			return;
		}

		// The file may have changed without a signal, and says when the process is killed.
		reloadSettings('stop');
		log.audit('Entry stops.', {inProgress: gateway.inProgress});
		void (async () => {
			await stop.run(settings().stopGraceMs);
			log.audit('Entry ends.', {cut: gateway.inProgress});
			stopping.abort();
			gateway.close();
			reportReader.close();
			readiness.close();
			metricsServer.close();
			await Promise.race([Promise.all([following, presence, publishing]), delay(STOP_MARGIN_MS / 2)]);
			process.exit(0);
		})();
	});
};
