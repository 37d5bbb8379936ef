import type {LogLine, RequestTimeline} from './types.js';

const renderFields = (fields: LogLine['fields']): string => Object.entries(fields)
	.filter(([name, value]) => name !== 'requestId' && value !== undefined)
	.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`).join(' ');

const renderLine = ({at, source, part, message, fields}: LogLine, mark: string): string =>
	`${mark} ${new Date(at).toISOString().slice(11, 23)}  ${source}  ${part}  ${message}  ${renderFields(fields)}`.trimEnd();

/** Renders a timeline as text: the conclusion, the state known when the request came, then decisions (`>`) and other lines by time. */
export const renderTimeline = ({requestId, beliefs, decisions, surroundings, omitted, conclusion}: RequestTimeline): string => {
	const events = [
		...decisions.map(line => ({line, mark: '>'})),
		...surroundings.map(line => ({line, mark: ' '})),
	].toSorted((a, b) => a.line.at - b.line.at);
	return [
		`Request ${requestId}: ${conclusion}`,
		'',
		'Known when the request came:',
		...beliefs.map(line => renderLine(line, ' ')),
		...(beliefs.length === 0 ? ['  nothing in these logs'] : []),
		'',
		'What happened (> decisions on the request):',
		...events.map(({line, mark}) => renderLine(line, mark)),
		...(omitted === 0 ? [] : ['', `${omitted} decisions were left out of these logs at that time.`]),
		'',
	].join('\n');
};
