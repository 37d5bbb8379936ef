import {listHistory, type AuditEntry} from '@yuccawood/configuration';
import {unwrapOrThrow, type Context} from './context.js';

const formatEntry = ({revision, time, author, team, section, text, editId}: AuditEntry): string => {
	const change = section === '*' ? 'first document' : `${text === undefined ? 'remove' : 'edit'} [${section}]`;
	return `${revision}\t${new Date(time).toISOString()}\t${author} (${team})\t${change}\t${editId}\n`;
};

/** `history`: prints audit entries from the newest to the oldest. */
export const showHistory = async (context: Context, {section, count}: {
	readonly section?: string;
	readonly count: number;
}): Promise<void> => {
	const {stored, edits} = unwrapOrThrow(await listHistory({
		keyValue: context.keyValue, limit: context.timeLimit(), section, count,
	}));
	context.print({revision: stored.head.revision, edits}, edits.map(entry => formatEntry(entry)).join(''));
};
