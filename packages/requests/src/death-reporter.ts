/** Reports deaths of upstreams to the other entries, so that all of them reject a poison request. */
import type {
	Clock, Log, Metrics, PeerClient, PeerServer,
} from '@yuccawood/common';
import type {CrashReview, Suspect} from '@yuccawood/crashes';
import type {MemberTable} from '@yuccawood/membership';
import type {Quarantine} from './quarantine.js';
import type {DeathReport} from './types.js';

/** Method of the peer servers by which entries receive death reports. */
export const DEATH_REPORT_METHOD = 'poison.report';

/** Sends and receives death reports, and records both in the quarantine. */
export class DeathReporter {
	readonly #members: MemberTable;
	readonly #client: PeerClient;
	readonly #quarantine: Quarantine;
	readonly #crashReview: Pick<CrashReview, 'recordCrash'>;
	readonly #clock: Clock;
	readonly #log: Log;
	readonly #metrics: Metrics;

	constructor({members, client, server, quarantine, crashReview, clock, log, metrics}: {
		readonly members: MemberTable;
		readonly client: PeerClient;
		readonly server: PeerServer;
		readonly quarantine: Quarantine;
		readonly crashReview: Pick<CrashReview, 'recordCrash'>;
		readonly clock: Clock;
		readonly log: Log;
		readonly metrics: Metrics;
	}) {
		this.#members = members;
		this.#client = client;
		this.#quarantine = quarantine;
		this.#crashReview = crashReview;
		this.#clock = clock;
		this.#log = log;
		this.#metrics = metrics;
		server.method(DEATH_REPORT_METHOD, (report: DeathReport) => {
			quarantine.record(report);
			return true;
		});
	}

	/**
	Records a death that this entry detected, and sends new reports to the other entries.

	@param suspects what the call that was cut off shares with other calls
	*/
	report(report: DeathReport, suspects: readonly Suspect[]): void {
		this.#crashReview.recordCrash(report.deathId, suspects, this.#clock.monotonic());
		if (!this.#quarantine.record(report)) {
			return;
		}

		this.#log.warn('Upstream died with requests in progress.', {vm: report.vm, deathId: report.deathId, requests: report.fingerprints.length});
		this.#metrics.count('requests.upstream_deaths');
		const {self, members} = this.#members;
		for (const {id, role, address} of members) {
			if (role === 'entry' && id !== self.id) {
				void this.#send(address, report);
			}
		}
	}

	async #send(address: string, report: DeathReport): Promise<void> {
		try {
			await this.#client.call(address, DEATH_REPORT_METHOD, report);
		} catch (error) {
			this.#log.debug('Could not send a death report to an entry.', {address, error});
		}
	}
}
