import {describeError, PeerClient} from '@yuccawood/common';
import {readHead} from '@yuccawood/configuration';
import type {MemberRecord} from '@yuccawood/membership';
import {CliError} from './cli-error.js';
import {DEFAULT_WAIT_SECONDS, SHORT_READ_SECONDS, STATUS_POLL_MS} from './constants.js';
import {unwrapOrThrow, type Context} from './context.js';

/** The fields of a `status.report` response that are used here. */
type StatusReport = {
	readonly members: readonly MemberRecord[];
	readonly revision: number;
};

/** How far a revision has spread among the members. */
type Progress = {
	/** Revision that all live members are to have in force. */
	readonly revision: number;

	/** Number of live members. */
	readonly live: number;

	/** Number of live members with this revision or a higher one. */
	readonly inForce: number;

	/** Ids of the live members with a lower revision. */
	readonly missing: readonly string[];
};

export type StatusOptions = {
	/** Peer address `IP:PORT` of the process to ask. Default: the one in the settings. */
	readonly peer?: string;

	/** Whether to wait until all live members have the revision in force. */
	readonly wait?: boolean;

	/** Revision to compare the members with. Default: the newest. */
	readonly revision?: number;
	readonly waitSeconds?: number;
};

const progressOf = ({members}: StatusReport, revision: number): Progress => {
	const live = members.filter(({status}) => status === 'alive' || status === 'suspect');
	const missing = live.filter(member => member.revision < revision).map(({id}) => id).sort();
	return {
		revision, live: live.length, inForce: live.length - missing.length, missing,
	};
};

const describeProgress = ({revision, live, inForce, missing}: Progress): string => {
	const rest = missing.length === 0 ? '' : `; missing: ${missing.slice(0, 5).join(', ')}${missing.length > 5 ? ` and ${missing.length - 5} more` : ''}`;
	return `Revision ${revision} is in force on ${inForce} of ${live} live members${rest}.`;
};

const formatMember = ({id, role, region, status, revision, upstream}: MemberRecord): string => {
	const versions = upstream?.served.map(({name, version}) => `${name} ${version}`).join(', ') ?? '';
	return `${id}\t${role}\t${region}\t${status}\t${revision}\t${versions}\n`;
};

/** Writes progress to standard error: on a terminal one line that is overwritten, otherwise a new line for each change. */
class ProgressLine {
	readonly #context: Context;
	#lastText = '';

	constructor(context: Context) {
		this.#context = context;
	}

	show(text: string): void {
		const {writeError, isInteractive} = this.#context.terminal;
		if (text === this.#lastText) {
			return;
		}

		writeError(isInteractive ? `\r${text.padEnd(this.#lastText.length)}` : `${text}\n`);
		this.#lastText = text;
	}

	end(): void {
		if (this.#context.terminal.isInteractive && this.#lastText !== '') {
			this.#context.terminal.writeError('\n');
		}
	}
}

const waitForAll = async (context: Context, fetchReport: () => Promise<StatusReport>, revision: number, waitSeconds: number): Promise<StatusReport> => {
	const {clock} = context;
	const endAt = clock.monotonic() + (waitSeconds * 1000);
	const line = new ProgressLine(context);
	let lastText = 'The process gave no report.';
	try {
		while (clock.monotonic() < endAt) {
			try {
				const report = await fetchReport();
				const progress = progressOf(report, revision);
				lastText = describeProgress(progress);
				line.show(lastText);
				if (progress.missing.length === 0 && report.revision >= revision) {
					return report;
				}
			} catch (error) {
				lastText = describeError(error);
				line.show(lastText);
			}

			await clock.sleep(STATUS_POLL_MS);
		}
	} finally {
		line.end();
	}

	throw new CliError({kind: 'timeout', detail: `Not in force everywhere within ${waitSeconds} s. ${lastText}`, remedy: 'Look at the members named, or wait again.'});
};

/** `status`: prints the members and their revisions as one process knows them. With `--wait`, first waits until all live members have the revision in force. */
export const showStatus = async (context: Context, {peer = context.settings.peer, wait = false, revision, waitSeconds = DEFAULT_WAIT_SECONDS}: StatusOptions): Promise<void> => {
	if (peer === undefined) {
		throw new CliError({kind: 'usage', detail: 'No process to ask is known.', remedy: 'Give --peer IP:PORT of any process, or address in [peer] of the settings.'});
	}

	const client = new PeerClient();
	const fetchReport = async (): Promise<StatusReport> => client.call<StatusReport>(peer, 'status.report', {}, {useNewConnection: true});
	try {
		const target = revision ?? await newestRevision(context, wait);
		const report = wait && target !== undefined ? await waitForAll(context, fetchReport, target, waitSeconds) : await fetchReport();
		const progress = progressOf(report, target ?? Math.max(...report.members.map(member => member.revision)));
		const table = report.members.toSorted((a, b) => a.id < b.id ? -1 : 1).map(member => formatMember(member)).join('');
		context.print({...progress, members: report.members}, `${table}${describeProgress(progress)}\n`);
	} finally {
		await client.close();
	}
};

/**
Revision of the head. @returns `undefined` when the key-value service is not configured or does not answer; the caller
then uses the highest revision that a member reports.

With `wait` an unreadable head is an error, because there is no revision to wait for.
*/
const newestRevision = async (context: Context, wait: boolean): Promise<number | undefined> => {
	if (wait) {
		const {head} = unwrapOrThrow(await readHead({keyValue: context.keyValue, limit: context.timeLimit()}));
		return head.revision;
	}

	if (context.settings.keyValue === undefined) {
		return undefined;
	}

	const read = await readHead({keyValue: context.keyValue, limit: context.timeLimit(SHORT_READ_SECONDS)});
	if (read.ok) {
		return read.val.head.revision;
	}

	context.terminal.writeError(`The newest revision is not known: ${read.val.message}\n`);
	return undefined;
};
