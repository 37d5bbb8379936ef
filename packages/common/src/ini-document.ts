/**
Parser for INI text that keeps line numbers.

The library `ini` reports no line numbers, so sections and keys are parsed here and the library only decodes the values.
*/
import {unsafe} from 'ini';

/** One `key = value` line. */
export type IniEntry = {
	readonly key: string;
	readonly value: string;

	/** Line number, counted from 1. */
	readonly line: number;
};

export type IniSection = {
	readonly name: string;

	/** Line number of the `[name]` header, counted from 1. */
	readonly line: number;
	readonly entries: readonly IniEntry[];
};

export type IniDocument = {
	readonly sections: readonly IniSection[];

	/** Lines that are not a section, an entry, a comment or blank, entries before the first section, and duplicate keys or sections. */
	readonly faults: ReadonlyArray<{readonly line: number; readonly section: string; readonly detail: string; readonly remedy: string}>;
};

const SECTION_PATTERN = /^\[([^\]]+)]\s*$/;
const ENTRY_PATTERN = /^([^=\s][^=]*?)\s*=\s*(.*)$/;

/** Parses INI text. Faults are collected instead of thrown, so that the user sees all of them at once. */
export const parseIni = (text: string): IniDocument => {
	const sections: Array<{name: string; line: number; entries: IniEntry[]}> = [];
	const names = new Set<string>();
	const faults: Array<{line: number; section: string; detail: string; remedy: string}> = [];

	for (const [index, rawLine] of text.split(/\r?\n/).entries()) {
		const line = index + 1;
		const content = rawLine.trim();
		const current = sections.at(-1);
		if (content === '' || content.startsWith(';') || content.startsWith('#')) {
			continue;
		}

		const header = SECTION_PATTERN.exec(content);
		if (header) {
			const name = header[1].trim();
			if (names.has(name)) {
				faults.push({
					line, section: name, detail: `section [${name}] stands twice`, remedy: 'Merge the two sections.',
				});
			}

			names.add(name);
			sections.push({name, line, entries: []});
			continue;
		}

		const entry = ENTRY_PATTERN.exec(content);
		if (!entry || !current) {
			const detail = current ? 'line is neither a section, a key nor a comment' : 'line stands before the first section';
			faults.push({
				line, section: current?.name ?? '', detail, remedy: 'Write [section], key = value, or a comment that starts with ; or #.',
			});
			continue;
		}

		const key = entry[1];
		if (current.entries.some(other => other.key === key)) {
			faults.push({
				line, section: current.name, detail: `key ${key} stands twice`, remedy: 'Remove one of the two lines.',
			});
			continue;
		}

		current.entries.push({key, value: String(unsafe(entry[2])), line});
	}

	return {sections, faults};
};
