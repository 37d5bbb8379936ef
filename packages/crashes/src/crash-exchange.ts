/** Tells the other entries what this one sees of crashes, and asks them for what speaks against a cause. */
import {
	describeError, type Log, type PeerClient, type PeerServer,
} from '@yuccawood/common';
import {MAX_TELL_ATTEMPTS, PEER_TIMEOUT_MS} from './constants.js';
import {
	isCrashReport, isEnquiry, isSuccessNotice, isTestimony,
} from './crash-messages.js';
import type {CrashReview} from './crash-review.js';
import type {
	CrashPeers, CrashReport, Enquiry, EnquiryResult, Testimony,
} from './types.js';

const REPORT_METHOD = 'crashes.report';
const SUCCESS_METHOD = 'crashes.success';
const ENQUIRE_METHOD = 'crashes.enquire';

export type CrashExchangeOptions = {
	readonly peers: PeerClient;
	readonly peerServer: PeerServer;
	readonly log: Log;

	/** Peer addresses of the other entries, `IP:port`. */
	readonly addresses: () => readonly string[];
};

/** @throws {TypeError} which the peer server sends back */
const checked = <Value>(value: unknown, isValid: (candidate: unknown) => candidate is Value): Value => {
	if (!isValid(value)) {
		throw new TypeError('The parameters have another form.');
	}

	return value;
};

export class CrashExchange implements CrashPeers {
	readonly #options: CrashExchangeOptions;

	constructor(options: CrashExchangeOptions) {
		this.#options = options;
	}

	/** Starts to answer the other entries. To be called before the peer server listens. */
	start(review: Pick<CrashReview, 'applyReport' | 'applySuccess' | 'testify'>): void {
		const {peerServer} = this.#options;
		peerServer.method(REPORT_METHOD, (report: unknown): Record<string, never> => {
			review.applyReport(checked(report, isCrashReport));
			return {};
		});
		peerServer.method(SUCCESS_METHOD, (notice: unknown): Record<string, never> => {
			review.applySuccess(checked(notice, isSuccessNotice).id);
			return {};
		});
		peerServer.method(ENQUIRE_METHOD, (enquiry: unknown): Testimony => review.testify(checked(enquiry, isEnquiry)));
	}

	readonly report = (report: CrashReport): void => {
		const startedAt = performance.now();
		this.#tellAll(REPORT_METHOD, () => ({...report, ageMs: report.ageMs + performance.now() - startedAt}));
	};

	readonly reportSuccess = (id: string): void => {
		this.#tellAll(SUCCESS_METHOD, () => ({id}));
	};

	readonly enquire = async (enquiry: Enquiry): Promise<EnquiryResult> => {
		const addresses = this.#options.addresses();
		const answers = await Promise.all(addresses.map(async address => this.#call(address, ENQUIRE_METHOD, enquiry)));
		return {asked: addresses.length, testimonies: answers.filter(answer => isTestimony(answer))};
	};

	/** @param parameters creates them for each attempt */
	#tellAll(method: string, parameters: () => unknown): void {
		for (const address of this.#options.addresses()) {
			void this.#tell(address, method, parameters);
		}
	}

	async #tell(address: string, method: string, parameters: () => unknown): Promise<void> {
		for (let attempt = 0; attempt < MAX_TELL_ATTEMPTS; attempt++) {
			// The connection may have died without being closed. The call after a failed one opens another.
			const answer = await this.#call(address, method, parameters());
			if (answer !== undefined) {
				return;
			}
		}
	}

	async #call(address: string, method: string, parameters: unknown): Promise<unknown> {
		const {peers, log} = this.#options;
		try {
			return await peers.call<unknown>(address, method, parameters, {timeoutMs: PEER_TIMEOUT_MS});
		} catch (error) {
			log.info('An entry did not answer about a crash.', {address, method, error: describeError(error)});
			return undefined;
		}
	}
}
