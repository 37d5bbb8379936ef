/** Runs an agent: loads new versions into the engine on its VM, exchanges pieces with its peers, and reports to entries. */
import process from 'node:process';
import {delay, describeError} from '@yuccawood/common';
import {VERSION_MARGIN_MS} from '@yuccawood/dispatch';
import {PEER_CALL_TIMEOUT_MS} from '@yuccawood/fleet';
import {
	LocalEngineClient, VERSIONS_PART,
} from '@yuccawood/platform';
import {ReportFeed} from '@yuccawood/reports';
import {StagedWeightManager, type StagedTargetVersion} from '@yuccawood/weights';
import {
	DIRECTORY_READ_TIMEOUT_MS, ENGINE_TIMEOUT_MS, FIRST_VERSION,
} from './constants.js';
import {ConfiguredOrigin} from './configured-origin.js';
import {EngineDirectoryReader} from './engine-directory-reader.js';
import {ListedMembers} from './listed-members.js';
import {MemberFollower} from './member-follower.js';
import {serveMetrics} from './metrics-endpoint.js';
import {createNode, type NodeContext} from './node-context.js';
import {answerEchoes} from './path-echo.js';

/** Target versions of a model, oldest first, with the monotonic time in milliseconds at which each became known. */
const stagedTargetsOf = ({view}: NodeContext, model: string | undefined, startedAt: number): readonly StagedTargetVersion[] => {
	if (model === undefined) {
		return [];
	}

	const named = view.targetsOf(model).map(({version, learnedAt}) => ({name: model, version, learnedAt}));
	// Without a target, upstreams hold the first version. Before the targets were read, an existing one may be unknown here.
	return named.length > 0 || !view.isInitialized ? named : [{name: model, version: FIRST_VERSION, learnedAt: startedAt}];
};

export const runAgent = async (): Promise<void> => {
	const context = createNode({
		parts: () => [VERSIONS_PART],
		checkedPart: VERSIONS_PART.name,
		peerAddresses: (view, {firstPeerPort, seeds, ip}) => [[...seeds, ...view.upstreams.map(({address}) => address.split(':')[0])]
			.filter(host => host !== ip).map(host => `${host}:${firstPeerPort}`)],
	});
	const {settings, view, store, log, metrics, clock, random, follower, peerServer, peerAddress} = context;
	const {vm, ip, upstreamAddress, upstreamService, region, failureDomain, regions, linkBytesPerSecond, firstPeerPort, versionBoundMs} = settings();
	if (!upstreamAddress || !upstreamService) {
		throw new Error('The settings contain no upstream address and service. Run the agent role on a VM that has an upstream.');
	}

	const startedAt = clock.monotonic();
	const stopping = new AbortController();
	const directories = new EngineDirectoryReader({
		store, follower, view, clock, random, log, metrics,
	});
	const serviceOf = () => directories.directory?.services.find(({name}) => name === upstreamService);
	const origin = new ConfiguredOrigin(directories);
	const memberFollower = new MemberFollower({
		store, follower, view, address: upstreamAddress, startedAt: () => manager.status.state?.startedAt, clock, log,
	});
	const manager = createManager();
	const feed = new ReportFeed({peerServer});
	manager.onStatus(({state, isSwitching}) => {
		if (state) {
			feed.publish({
				address: upstreamAddress, running: state.running, waiting: state.waiting, version: state.model?.version, isSwitching, pace: state.pace,
			});
		}
	});
	answerEchoes(peerServer);
	await peerServer.listen(ip, firstPeerPort);
	const metricsServer = serveMetrics({
		metrics, host: ip, port: firstPeerPort + 1,
		gauges() {
			metrics.gauge('reports.readers', feed.readerCount);
		},
	});
	log.audit('Agent starts.', {
		vm, ip, service: upstreamService, region, failureDomain, regions: regions.size, linkBytesPerSecond, versionBoundMs,
	});
	const following = follower.run(stopping.signal);
	const reading = directories.run(() => manager.isRollingOut, stopping.signal);
	const listing = memberFollower.run(() => manager.isRollingOut, stopping.signal);
	const running = manager.run(stopping.signal);
	process.on('SIGTERM', () => {
		log.audit('Agent ends.', {});
		stopping.abort();
		feed.close();
		metricsServer.close();
		void (async () => {
			await Promise.race([Promise.all([following, reading, listing, running]), delay(100)]);
			process.exit(0);
		})();
	});

	function createManager(): StagedWeightManager {
		const selfId = peerAddress(ip);
		const memberTable = new ListedMembers({
			view, selfId, region, failureDomain, service: upstreamService!, regions, peerAddress,
			manifestHash: version => manager.manifestHash(version),
		});
		return new StagedWeightManager({
			selfId,
			service: upstreamService!,
			members: memberTable,
			waitForMembers: async () => memberFollower.awaitList(),
			refreshMembers: async () => memberFollower.awaitOwnEntry(),
			targets: () => stagedTargetsOf(context, serviceOf()?.models[0], startedAt),
			canInterruptRequests: () => serviceOf()?.isRepeatable ?? false,
			async refreshCanInterruptRequests() {
				await Promise.race([directories.read('fresh'), delay(DIRECTORY_READ_TIMEOUT_MS)]);
			},
			engine: new LocalEngineClient({address: upstreamAddress!, timeoutMs: ENGINE_TIMEOUT_MS}),
			origin: origin.client,
			askPeer: async <Answer>(address: string, method: string, parameters: unknown) => askPeer<Answer>(context, address, method, parameters),
			peerServer,
			settings: {
				linkBytesPerSecond,
				storeRegion: () => regions.get(origin.failureDomain ?? '') ?? region,
			},
			versionBoundMs, boundMarginMs: VERSION_MARGIN_MS, clock, random, log, metrics,
		});
	}
};

/** Calls a method of a peer. @returns undefined if the peer does not answer */
const askPeer = async <Answer>({peers, log}: NodeContext, address: string, method: string, parameters: unknown): Promise<Answer | undefined> => {
	try {
		return await peers.call<Answer>(address, method, parameters, {timeoutMs: PEER_CALL_TIMEOUT_MS});
	} catch (error) {
		log.info('A peer did not answer; trying another one.', {address, method, error: describeError(error)});
		return undefined;
	}
};
