/** Actions that compare, list and revert revisions, show which members have a revision in force, and explain a request. */
import type {Command} from 'commander';
import {diffDocument} from './diff-document.js';
import {explainRequest} from './explain/explain-request.js';
import {revertToRevision} from './revert-to-revision.js';
import {parseSeconds, parseWholeNumber, type RunAction} from './run-action.js';
import {showHistory} from './show-history.js';
import {showStatus, type StatusOptions} from './show-status.js';

type SectionOptions = {readonly section: string};

export const addInspectActions = (program: Command, run: RunAction): void => {
	program.command('diff [file]')
		.description('compare the document with a file, or a section with an earlier revision')
		.option('--section <section>', 'only this section')
		.option('--revision <revision>', 'earlier revision', parseWholeNumber)
		.action(async (file: string | undefined, options: Partial<SectionOptions> & {readonly revision?: number}) =>
			run(async context => diffDocument(context, file, options)));
	program.command('history')
		.description('list edits from the newest to the oldest')
		.option('--section <section>', 'only edits of this section')
		.option('--count <count>', 'largest number of edits', parseWholeNumber, 20)
		.action(async (options: Partial<SectionOptions> & {readonly count: number}) => run(async context => showHistory(context, options)));
	program.command('revert <revision>')
		.description('give a section its text of an earlier revision, as a new revision')
		.requiredOption('--section <section>', 'section to revert')
		.action(async (revision: string, options: SectionOptions) => run(async context => revertToRevision(context, Number(revision), options), {file: 'document'}));
	program.command('status')
		.description('show which members have the newest revision in force')
		.option('--peer <address>', 'IP:PORT of any process')
		.option('--wait', 'wait until all live members have the revision')
		.option('--revision <revision>', 'revision to wait for; default: the newest', parseWholeNumber)
		.option('--wait-seconds <seconds>', 'longest wait', parseSeconds)
		.action(async (options: StatusOptions) => run(async context => showStatus(context, options)));
	program.command('explain <request-id> [files...]')
		.description('reconstruct the course of one request from the logs of entries and agents, given as files or on standard input')
		.action(async (requestId: string, files: readonly string[]) => run(async context => explainRequest(context, requestId, files)));
};
