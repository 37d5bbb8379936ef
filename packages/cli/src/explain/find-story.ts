/**
Finds the story of one request in the logs of several processes.

The decisions name the upstreams that the request met. What the same entry believed of them, and what the agents beside
them did, is found by upstream id, address and VM.
*/
import {AFTER_MS, BEFORE_MS, MAX_SURROUNDINGS} from './constants.js';
import type {LogLine, Story} from './types.js';

/** Lines that tell the state of the whole process; the last one of each kind before the request is a belief. */
const BELIEFS: ReadonlySet<string> = new Set([
	'Configuration is in force.', 'New target version.', 'The store answers.', 'The store does not answer; the last known state stays in force.', 'Settings are reloaded.',
]);

/** Lines of other requests that went well tell nothing about this one. */
const ORDINARY: ReadonlySet<string> = new Set(['Placed.', 'Delivered.']);

/** Lines that explain a request without an upstream: no place, no version, no process. */
const PROCESS_PARTS: ReadonlySet<string> = new Set(['process', 'store']);

const text = (value: unknown): string | undefined => typeof value === 'string' ? value : undefined;

const hostOf = (address: string): string => address.split(':')[0];

/** Decisions after which the caller has an answer, latest first, with what they say. */
const conclude = (decisions: readonly LogLine[]): string => {
	const last = decisions.at(-1)!;
	const {reason, detail, upstream, failure, sends, mayHaveRun} = last.fields;
	const at = text(upstream) === undefined ? '' : ` at upstream ${String(upstream)}`;
	switch (last.message) {
		case 'Delivered.': {
			return `Delivered${at} after ${String(sends)} send${sends === 1 ? '' : 's'}.`;
		}

		case 'Rejected.': {
			return mayHaveRun === true
				? `No other upstream was free to repeat the request (${String(reason)}); it may have run.`
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

const beliefsOf = (lines: readonly LogLine[], {sources, before}: {readonly sources: ReadonlySet<string>; readonly before: number}): readonly LogLine[] => {
	const last = new Map<string, LogLine>();
	for (const line of lines) {
		if (line.at <= before && sources.has(line.source) && BELIEFS.has(line.message)) {
			const subject = line.part === 'store' ? 'store' : `${line.message} ${text(line.fields.model) ?? ''}`;
			last.set(`${line.source} ${subject}`, line);
		}
	}

	return [...last.values()].toSorted((a, b) => a.at - b.at);
};

/** @returns nothing when no line names the request */
export const findStory = (lines: readonly LogLine[], requestId: string): Story | undefined => {
	const decisions = lines.filter(({fields}) => fields.requestId === requestId);
	if (decisions.length === 0) {
		return undefined;
	}

	const sources = new Set(decisions.map(({source}) => source));
	const first = decisions[0].at;
	const from = first - BEFORE_MS;
	const until = decisions.at(-1)!.at + AFTER_MS;
	const upstreams = new Set(decisions.flatMap(({fields}) => text(fields.upstream) ?? []));
	const hosts = new Set(lines.flatMap(({fields}) => upstreams.has(text(fields.id) ?? '') && typeof fields.address === 'string' ? [hostOf(fields.address)] : []));
	const agents = new Set(lines.flatMap(({fields, source}) => hosts.has(text(fields.ip) ?? '') ? [source] : []));
	const isAboutUpstream = ({fields}: LogLine): boolean => upstreams.has(text(fields.upstream) ?? '') || upstreams.has(text(fields.id) ?? '');
	const lacksVersion = decisions.some(({fields}) => fields.reason === 'no-version');
	const beliefs = beliefsOf(lines, {sources, before: first});
	const surroundings = lines.filter(line => {
		if (line.at < from || line.at > until || line.fields.requestId === requestId || ORDINARY.has(line.message) || beliefs.includes(line)) {
			return false;
		}

		const isOwn = sources.has(line.source);
		return (isOwn && (isAboutUpstream(line) || PROCESS_PARTS.has(line.part) || BELIEFS.has(line.message)))
			|| (agents.has(line.source) && (line.part === 'weights' || line.part === 'process'))
			|| (lacksVersion && line.part === 'weights');
	});
	const omitted = lines.filter(line => sources.has(line.source) && line.at >= from && line.at <= until)
		.reduce((sum, {fields}) => sum + (typeof fields.omitted === 'number' ? fields.omitted : 0), 0);
	return {
		requestId, beliefs, decisions, surroundings: surroundings.slice(-MAX_SURROUNDINGS), omitted, conclusion: conclude(decisions),
	};
};
