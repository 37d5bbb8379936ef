import {describeError, PeerClient} from '@yuccawood/common';
import {readHead} from '@yuccawood/configuration';
import type {MemberRecord} from '@yuccawood/membership';
import {CliError} from './cli-error.js';
import {DEFAULT_WAIT_SECONDS, SHORT_READ_SECONDS, STATUS_POLL_MS} from './constants.js';
import {valueOf, type Context} from './context.js';

/** The part of the answer of `status.report` that is shown. */
type StatusReport = {
	readonly members: readonly MemberRecord[];
	readonly revision: number;
};

type Progress = {
	/** Revision that all live members are to have. */
	readonly revision: number;
	readonly live: number;
	readonly inForce: number;

	/** Live members with a lower revision. */
	readonly missing: readonly string[];
};

export type StatusOptions = {
	readonly peer?: string;
	readonly wait?: boolean;
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

const memberLine = ({id, role, region, status, revision, upstream}: MemberRecord): string => {
	const versions = upstream?.served.map(({name, version}) => `${name} ${version}`).join(', ') ?? '';
	return `${id}\t${role}\t${region}\t${status}\t${revision}\t${versions}\n`;
};

/** Writes progress: one line that is overwritten on a terminal, a plain line for each change otherwise. */
class ProgressLine {
	readonly #context: Context;
	#last = '';

	constructor(context: Context) {
		this.#context = context;
	}

	show(text: string): void {
		const {writeError, isInteractive} = this.#context.terminal;
		if (text === this.#last) {
			return;
		}

		writeError(isInteractive ? `\r${text.padEnd(this.#last.length)}` : `${text}\n`);
		this.#last = text;
	}

	end(): void {
		if (this.#context.terminal.isInteractive && this.#last !== '') {
			this.#context.terminal.writeError('\n');
		}
	}
}

const waitForAll = async (context: Context, ask: () => Promise<StatusReport>, revision: number, waitSeconds: number): Promise<StatusReport> => {
	const {clock} = context;
	const end = clock.monotonic() + (waitSeconds * 1000);
	const line = new ProgressLine(context);
	let last = 'The process gave no report.';
	try {
		while (clock.monotonic() < end) {
			try {
				const report = await ask();
				const progress = progressOf(report, revision);
				last = describeProgress(progress);
				line.show(last);
				if (progress.missing.length === 0 && report.revision >= revision) {
					return report;
				}
			} catch (error) {
				last = describeError(error);
				line.show(last);
			}

			await clock.sleep(STATUS_POLL_MS);
		}
	} finally {
		line.end();
	}

	throw new CliError({kind: 'timeout', detail: `Not in force everywhere within ${waitSeconds} s. ${last}`, remedy: 'Look at the members named, or wait again.'});
};

/** `status`: revision of each member as one process knows them; with `--wait` until all live members have the revision. */
export const showStatus = async (context: Context, {peer = context.settings.peer, wait = false, revision, waitSeconds = DEFAULT_WAIT_SECONDS}: StatusOptions): Promise<void> => {
	if (peer === undefined) {
		throw new CliError({kind: 'usage', detail: 'No process to ask is known.', remedy: 'Give --peer IP:PORT of any process, or address in [peer] of the settings.'});
	}

	const client = new PeerClient();
	const ask = async (): Promise<StatusReport> => client.call<StatusReport>(peer, 'status.report', {}, {fresh: true});
	try {
		const wanted = revision ?? await newestRevision(context, wait);
		const report = wait && wanted !== undefined ? await waitForAll(context, ask, wanted, waitSeconds) : await ask();
		const progress = progressOf(report, wanted ?? Math.max(...report.members.map(member => member.revision)));
		const table = report.members.toSorted((a, b) => a.id < b.id ? -1 : 1).map(member => memberLine(member)).join('');
		context.print({...progress, members: report.members}, `${table}${describeProgress(progress)}\n`);
	} finally {
		await client.close();
	}
};

/**
Revision of the head. Without the key-value service the highest revision that the process reports counts instead, but
there is nothing to wait for.
*/
const newestRevision = async (context: Context, wait: boolean): Promise<number | undefined> => {
	if (wait) {
		const {head} = valueOf(await readHead({keyValue: context.keyValue, limit: context.limit()}));
		return head.revision;
	}

	if (context.settings.keyValue === undefined) {
		return undefined;
	}

	const read = await readHead({keyValue: context.keyValue, limit: context.limit(SHORT_READ_SECONDS)});
	if (read.ok) {
		return read.val.head.revision;
	}

	context.terminal.writeError(`The newest revision is not known: ${read.val.message}\n`);
	return undefined;
};
