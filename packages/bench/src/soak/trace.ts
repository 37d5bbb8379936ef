/** The events that concern one violation, in order of time. */
import type {Attempt, CallRecord, Evidence} from './evidence.js';

/** What a violation is about: a call, or a moment. */
export type Subject = {readonly call?: CallRecord; readonly at?: number};

type Line = {readonly at: number; readonly text: string};

/** Faults that ended this long before the first event of a call may still have led to it. */
const CAUSE_WINDOW_MS = 5000;

const MAX_LINES = 60;

const describeEnd = ({result, status, outcome, problem, requestId, version}: Attempt): string => {
	const reason = problem === undefined ? '' : ` (${problem})`;
	return `caller gets ${result}${reason}, status ${status}, outcome ${outcome ?? 'none'}, request ${requestId ?? 'none'}, version ${version?.slice(0, 8) ?? 'none'}`;
};

export const traceOf = ({call, at}: Subject, {logs, interferences}: Evidence): readonly string[] => {
	const attempts: readonly Line[] = (call?.attempts ?? []).flatMap(attempt => [
		{at: attempt.startedAt, text: `caller sends ${call!.method} ${call!.path} (${call!.id}) to ${attempt.entry}`},
		{at: attempt.endedAt, text: describeEnd(attempt)},
	]);
	const requestIds = new Set(call?.attempts.map(({requestId}) => requestId));
	const upstream = call
		? logs.flatMap(({name, entries}) => entries

			.filter(({content, bodyHash, requestId}) => content === call.content || bodyHash === call.content
				|| (requestId !== undefined && requestIds.has(requestId)))
			.map((entry): Line => ({at: entry.at, text: `${name} ${entry.event} request ${entry.requestId ?? 'none'}`})))
		: [];
	const times = [...attempts, ...upstream].map(line => line.at);
	const from = Math.min(at ?? Number.POSITIVE_INFINITY, ...times) - CAUSE_WINDOW_MS;
	const to = Math.max(at ?? 0, ...times);
	const causes = interferences
		.filter(({startedAt, endedAt}) => startedAt <= to && endedAt >= from)
		.map((one): Line => ({at: one.startedAt, text: `${one.kind} on ${one.target} for ${one.endedAt - one.startedAt} ms`}));
	return [...attempts, ...upstream, ...causes]
		.toSorted((a, b) => a.at - b.at)
		.slice(0, MAX_LINES)
		.map(line => `${new Date(line.at).toISOString()} ${line.text}`);
};
