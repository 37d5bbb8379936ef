import type {LogLine, Story} from './types.js';

const renderFields = (fields: LogLine['fields']): string => Object.entries(fields)
	.filter(([name, value]) => name !== 'requestId' && value !== undefined)
	.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');

const renderLine = ({at, source, part, message, fields}: LogLine, mark: string): string =>
	`${mark} ${new Date(at).toISOString().slice(11, 23)}  ${source}  ${part}  ${message}  ${renderFields(fields)}`.trimEnd();

/** The story as text: conclusion, beliefs, then decisions (`>`) and other lines in order of time. */
export const renderStory = ({requestId, beliefs, decisions, surroundings, omitted, conclusion}: Story): string => {
	const course = [
		...decisions.map(line => ({line, mark: '>'})),
		...surroundings.map(line => ({line, mark: ' '})),
	].toSorted((a, b) => a.line.at - b.line.at);
	return [
		`Request ${requestId}: ${conclusion}`,
		'',
		'Known when it came:',
		...beliefs.map(line => renderLine(line, ' ')),
		...(beliefs.length === 0 ? ['  nothing in these logs'] : []),
		'',
		'What happened (> decisions on the request):',
		...course.map(({line, mark}) => renderLine(line, mark)),
		...(omitted === 0 ? [] : ['', `${omitted} decisions were left out of these logs at that time.`]),
		'',
	].join('\n');
};
