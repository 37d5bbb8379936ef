/** Compares the callers' records with the stand-ins' logs. */
import {sha256} from '@yuccawood/common';
import {expectedAnswer, type LogEntry, type ServiceAnswer} from '@yuccawood/stand-ins';
import {
	QUIET_BEFORE_STOP_MS, type Attempt, type CallRecord, type Evidence, type RevisionSample, type Violation,
} from './evidence.js';
import {traceOf, type Subject} from './trace.js';

/** One execution of a call by an upstream. */
export type Run = {readonly upstream: string; readonly entry: LogEntry};

/** A body identifies a call; a call without one is identified by its path. */
const serviceContent = ({method, path, bodyHash}: LogEntry): string => method === 'GET' ? sha256(String(path)) : String(bodyHash);

/** Executions by the content of the call. */
export const runsByContent = ({logs}: Evidence): ReadonlyMap<string, readonly Run[]> => {
	const runs = new Map<string, Run[]>();
	for (const {name, kind, entries} of logs) {
		for (const entry of entries.filter(({event}) => event === 'run')) {
			const content = kind === 'engine' ? String(entry.content) : serviceContent(entry);
			runs.set(content, [...(runs.get(content) ?? []), {upstream: name, entry}]);
		}
	}

	return runs;
};

type Finding = {readonly rule: string; readonly detail: string} & Subject;

const isOwnServiceAnswer = (call: CallRecord, text: string): boolean => {
	try {
		const {method, path, bodyHash} = JSON.parse(text) as ServiceAnswer;
		return method === call.method && path === call.path && (method === 'GET' || bodyHash === call.content);
	} catch {
		return false;
	}
};

const isOwnCompletion = (call: CallRecord, {text, result}: Attempt, manifests: Iterable<string>): boolean => {
	for (const manifest of manifests) {
		const expected = expectedAnswer({manifest, model: call.model, messages: call.messages}, call.maxTokens);
		if (result === 'answered' ? text === expected : expected.startsWith(text)) {
			return true;
		}
	}

	return false;
};

/** Answers that belong to another request, or claim to be whole and are not. */
const crossedAnswers = ({calls, manifests}: Evidence): readonly Finding[] => calls.flatMap(call => call.attempts.flatMap((attempt): readonly Finding[] => {
	const isModel = call.kind === 'chat' || call.kind === 'poison';
	const named = attempt.version === undefined ? manifests : [attempt.version];
	const isOwn = isModel ? isOwnCompletion(call, attempt, named) : attempt.result !== 'answered' || isOwnServiceAnswer(call, attempt.text);
	return attempt.result === 'refused' || attempt.result === 'unreached' || isOwn
		? []
		: [{rule: 'crossed-or-partial-answer', detail: `Call ${call.id} received an answer that is not its own in full: ${attempt.text.slice(0, 200)}`, call}];
}));

/** Calls whose callers were told `not-run` by all attempts up to one that ended after the call was run. */
const falseNotRun = ({calls}: Evidence, runs: ReadonlyMap<string, readonly Run[]>): readonly Finding[] => calls.flatMap(call => {
	const firstOther = call.attempts.findIndex(({outcome}) => outcome !== 'not-run');
	const refused = firstOther === -1 ? call.attempts : call.attempts.slice(0, firstOther);
	// A later attempt may run the call, so only runs before its start count, unless all attempts were refused.
	const limit = firstOther === -1 ? Number.POSITIVE_INFINITY : call.attempts[firstOther].startedAt;
	const run = (runs.get(call.content) ?? []).find(({entry}) => entry.at < limit);
	return refused.length > 0 && run ? [{rule: 'false-not-run', detail: `Call ${call.id} was reported as not run, but ${run.upstream} ran it.`, call}] : [];
});

/** Calls reported as completed that no upstream ran. */
const falseCompleted = ({calls}: Evidence, runs: ReadonlyMap<string, readonly Run[]>): readonly Finding[] => calls
	.filter(call => call.attempts.some(({outcome}) => outcome === 'completed') && !runs.has(call.content))
	.map(call => ({rule: 'false-completed', detail: `Call ${call.id} was reported as completed, but no upstream ran it.`, call}));

const duplicates = ({calls}: Evidence, runs: ReadonlyMap<string, readonly Run[]>): readonly Finding[] => calls
	.filter(call => call.kind === 'order' && (runs.get(call.content) ?? []).length > 1)
	.map(call => ({rule: 'run-twice', detail: `Call ${call.id} was run ${runs.get(call.content)!.length} times.`, call}));

const unverifiedVersions = ({calls, logs, manifests}: Evidence): readonly Finding[] => {
	const answered = calls
		.filter(call => call.attempts.some(({result, version}) => result === 'answered' && version !== undefined && !manifests.has(version)))
		.map(call => ({rule: 'unverified-version', detail: `Call ${call.id} was answered by a version that the origin does not serve.`, call}));
	const activated = logs.flatMap(({name, entries}) => entries
		.filter(({event, refused, manifest}) => event === 'activate' && refused === undefined && !manifests.has(String(manifest)))
		.map(entry => ({rule: 'unverified-version', detail: `${name} was told to activate ${String(entry.manifest)}, which the origin does not serve.`, at: entry.at})));
	return [...answered, ...activated];
};

/** Processes whose revision went back, also across a restart. */
const reverts = ({revisions}: Evidence): readonly Finding[] => {
	const last = new Map<string, RevisionSample>();
	const findings: Finding[] = [];
	for (const sample of revisions.filter(({revision}) => revision > 0).toSorted((a, b) => a.at - b.at)) {
		const earlier = last.get(sample.process);
		if (earlier && earlier.revision > sample.revision) {
			findings.push({rule: 'revision-reverted', detail: `${sample.process} went from revision ${earlier.revision} to ${sample.revision}.`, at: sample.at});
		}

		last.set(sample.process, sample);
	}

	return findings;
};

const isCut = ({result, outcome}: Attempt): boolean => result === 'broken' || outcome === 'unknown';

/** Attempts that broke during a planned stop while nothing else was wrong, and stops that did not end by themselves. */
const cutByStops = ({plannedStops, calls, interferences}: Evidence): readonly Finding[] => plannedStops.flatMap(stop => {
	const quietFrom = stop.startedAt - QUIET_BEFORE_STOP_MS;
	const isDisturbed = interferences.some(({kind, startedAt, endedAt}) => kind !== 'planned-stop' && startedAt <= stop.endedAt && endedAt >= quietFrom);
	const failedExit = stop.exitCode === 0 ? [] : [{rule: 'planned-stop-failed', detail: `${stop.target} ended with exit code ${stop.exitCode ?? 'none'} after SIGTERM.`, at: stop.startedAt}];
	if (isDisturbed) {
		return [];
	}

	const cut = calls
		.filter(call => call.kind !== 'poison' && call.attempts.some(attempt => isCut(attempt)
			&& attempt.startedAt >= quietFrom && attempt.startedAt <= stop.endedAt && attempt.endedAt >= stop.startedAt))
		.map(call => ({rule: 'cut-by-planned-stop', detail: `Call ${call.id} was cut while ${stop.target} stopped as planned.`, call}));
	return [...failedExit, ...cut];
});

/** Edits whose authors were told something else than what the history holds. */
const wrongEdits = ({edits, history}: Evidence): readonly Finding[] => {
	const duplicated = history.filter((editId, index) => history.indexOf(editId) !== index)
		.map(editId => ({rule: 'edit-duplicated', detail: `${editId} stands in the history more than once.`}));
	const wrong = edits
		.filter(({editId, result}) => result !== 'unknown' && history.includes(editId) !== (result === 'accepted'))
		.map(({editId, result}) => ({rule: result === 'accepted' ? 'edit-lost' : 'refused-edit-applied', detail: `${editId} was reported as ${result}, and the history says otherwise.`}));
	return [...duplicated, ...wrong];
};

/** Processes that counted a broken invariant of their own; one finding for each process. */
const brokenInvariants = ({revisions}: Evidence): readonly Finding[] => {
	const broken = new Map(revisions.filter(sample => (sample.brokenInvariants ?? 0) > 0).map(sample => [sample.process, sample]));
	return [...broken.values()].map(({process, at, brokenInvariants: count}) => ({rule: 'invariant-broken', detail: `${process} counted ${count} broken invariants; see its log.`, at}));
};

/** All violations, each with its trace. */
export const check = (evidence: Evidence): readonly Violation[] => {
	const runs = runsByContent(evidence);
	const findings = [
		...crossedAnswers(evidence),
		...falseNotRun(evidence, runs),
		...falseCompleted(evidence, runs),
		...duplicates(evidence, runs),
		...unverifiedVersions(evidence),
		...reverts(evidence),
		...brokenInvariants(evidence),
		...cutByStops(evidence),
		...wrongEdits(evidence),
	];
	return findings.map(({rule, detail, ...subject}) => ({rule, detail, trace: traceOf(subject, evidence)}));
};
