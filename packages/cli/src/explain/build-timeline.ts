/**
Builds the timeline of one request from the logs of several processes.

The decisions on the request name the upstreams that it was sent to. Related lines are found through these: lines of the
same entry by upstream id, and lines of the agent beside an upstream by the upstream's address and the agent's IP address.
*/
import {CONTEXT_AFTER_MS, CONTEXT_BEFORE_MS, MAX_CONTEXT_LINES} from './constants.js';
import type {LogLine, RequestTimeline} from './types.js';

/** Messages that report state of the whole process. The last line of each kind before the request shows what the entry knew. */
const STATE_MESSAGES: ReadonlySet<string> = new Set([
	'Configuration is in force.', 'New target version.', 'The store answers.', 'The store does not answer; the last known state stays in force.', 'Settings are reloaded.',
]);

/** Messages on successful requests. Those of other requests are irrelevant. */
const ROUTINE_MESSAGES: ReadonlySet<string> = new Set(['Read.', 'Placed.', 'Sent.', 'Delivered.']);

/** Log parts whose lines may explain why a request was not sent to any upstream. */
const PROCESS_PARTS: ReadonlySet<string> = new Set(['process', 'store']);

const asString = (value: unknown): string | undefined => typeof value === 'string' ? value : undefined;

const hostOf = (address: string): string => address.split(':')[0];

/** States the outcome of the request in one sentence, from the last decision. */
const describeOutcome = (decisions: readonly LogLine[]): string => {
	const last = decisions.at(-1)!;
	const {reason, detail, upstream, failure, sends, mayHaveRun} = last.fields;
	const at = asString(upstream) === undefined ? '' : ` at upstream ${String(upstream)}`;
	switch (last.message) {
		case 'Delivered.': {
			return `Delivered${at} after ${String(sends)} send${sends === 1 ? '' : 's'}.`;
		}

		case 'Rejected.': {
			return mayHaveRun === true
				? `No other upstream was free to retry the request (${String(reason)}); it may have run.`
				: `Rejected without having run: ${String(reason)}.`;
		}

		case 'Refused.': {
			return `Refused without having run: ${String(reason)}`;
		}

		case 'Given up after a failure.': {
			return `Given up (${String(reason)}) after a failure${at}: ${String(failure)}, ${String(detail)}.`;
		}

		case 'The time limit was reached.': {
			return `The time limit was reached${at || ' while the request waited'}; ${sends === 0 ? 'it has not run' : 'whether it ran is unknown'}.`;
		}

		case 'The caller left.': {
			return `The caller left${at || ' while the request waited'}.`;
		}

		default: {
			return `The logs end with: ${last.message} The final answer is in lines that are missing, or the process ended.`;
		}
	}
};

/** The last state line of each subject that the given sources logged up to `before`, by time. */
const lastStateLines = (lines: readonly LogLine[], {sources, before}: {readonly sources: ReadonlySet<string>; readonly before: number}): readonly LogLine[] => {
	const last = new Map<string, LogLine>();
	for (const line of lines) {
		if (line.at <= before && sources.has(line.source) && STATE_MESSAGES.has(line.message)) {
			const subject = line.part === 'store' ? 'store' : `${line.message} ${asString(line.fields.model) ?? ''}`;
			last.set(`${line.source} ${subject}`, line);
		}
	}

	return [...last.values()].toSorted((a, b) => a.at - b.at);
};

/** @returns `undefined` when no line names the request. */
export const buildTimeline = (lines: readonly LogLine[], requestId: string): RequestTimeline | undefined => {
	const decisions = lines.filter(({fields}) => fields.requestId === requestId);
	if (decisions.length === 0) {
		return undefined;
	}

	const sources = new Set(decisions.map(({source}) => source));
	const firstAt = decisions[0].at;
	const from = firstAt - CONTEXT_BEFORE_MS;
	const until = decisions.at(-1)!.at + CONTEXT_AFTER_MS;
	const upstreams = new Set(decisions.flatMap(({fields}) => asString(fields.upstream) ?? []));
	const upstreamHosts = new Set(lines.flatMap(({fields}) => upstreams.has(asString(fields.id) ?? '') && typeof fields.address === 'string' ? [hostOf(fields.address)] : []));
	const agentSources = new Set(lines.flatMap(({fields, source}) => upstreamHosts.has(asString(fields.ip) ?? '') ? [source] : []));
	const isAboutUpstream = ({fields}: LogLine): boolean => upstreams.has(asString(fields.upstream) ?? '') || upstreams.has(asString(fields.id) ?? '');
	const hadNoVersion = decisions.some(({fields}) => fields.reason === 'no-version');
	const beliefs = lastStateLines(lines, {sources, before: firstAt});
	const surroundings = lines.filter(line => {
		if (line.at < from || line.at > until || line.fields.requestId === requestId || ROUTINE_MESSAGES.has(line.message) || beliefs.includes(line)) {
			return false;
		}

		const isFromRequestEntry = sources.has(line.source);
		return (isFromRequestEntry && (isAboutUpstream(line) || PROCESS_PARTS.has(line.part) || STATE_MESSAGES.has(line.message)))
			|| (agentSources.has(line.source) && (line.part === 'weights' || line.part === 'process'))
			|| (hadNoVersion && line.part === 'weights');
	});
	const omitted = lines.filter(line => sources.has(line.source) && line.at >= from && line.at <= until)
		.reduce((sum, {fields}) => sum + (typeof fields.omitted === 'number' ? fields.omitted : 0), 0);
	return {
		requestId, beliefs, decisions, surroundings: surroundings.slice(-MAX_CONTEXT_LINES), omitted, conclusion: describeOutcome(decisions),
	};
};
