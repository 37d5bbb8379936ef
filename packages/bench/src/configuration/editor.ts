/** Edits of a benchmark run, made in the process of the benchmark, and the comparison with the audit trail. */
import {randomUUID} from 'node:crypto';
import {SystemClock, systemRandom, TypedError} from '@yuccawood/common';
import {
	applyEdit, initialiseDocument, listHistory, readHead, TimeLimit, type Edit,
} from '@yuccawood/configuration';
import {HttpKeyValueService} from '@yuccawood/interfaces';

const LIMIT_MS = 15_000;

export type TrailComparison = {
	/** Accepted edits without an audit entry. */
	readonly lostEdits: number;

	/** Audit entries beyond the first of an edit, or of edits that were refused. */
	readonly duplicateEdits: number;
};

export class Editor {
	readonly #keyValue: HttpKeyValueService;
	readonly #clock = new SystemClock();
	readonly #random = systemRandom();
	readonly #accepted = new Set<string>();
	#conflicts = 0;

	constructor({address}: {readonly address: string}) {
		this.#keyValue = new HttpKeyValueService({address});
	}

	get conflicts(): number {
		return this.#conflicts;
	}

	get accepted(): number {
		return this.#accepted.size;
	}

	async initialise(text: string): Promise<void> {
		const editId = randomUUID();
		const result = await initialiseDocument({
			keyValue: this.#keyValue, text, author: 'bench', team: 'platform', editId,
		});
		if (result.err) {
			throw result.val;
		}

		this.#accepted.add(editId);
	}

	/** Edits a section from its current revision. @returns the new revision; `undefined` for a conflict. */
	async edit({section, team, text}: Pick<Edit, 'section' | 'team'> & {readonly text: string}): Promise<number | undefined> {
		const read = await readHead({keyValue: this.#keyValue, limit: this.#limit()});
		if (read.err) {
			throw read.val;
		}

		const {sections} = read.val.head;
		const baseRevision = Object.hasOwn(sections, section) ? sections[section].revision : 0;
		const editId = randomUUID();
		const result = await applyEdit({
			keyValue: this.#keyValue, edit: {
				editId, author: 'bench', team, section, baseRevision, text,
			},
		});
		if (result.ok) {
			this.#accepted.add(editId);
			return result.val.revision;
		}

		if (result.val.kind !== 'conflict') {
			throw result.val;
		}

		this.#conflicts++;
		return undefined;
	}

	/** An edit that nobody else competes with. */
	async editAlone(options: Parameters<Editor['edit']>[0]): Promise<number> {
		const revision = await this.edit(options);
		if (revision === undefined) {
			throw new TypedError({kind: 'conflict', detail: 'An edit without competitors met a conflict.', remedy: 'Look at the history of the section.'});
		}

		return revision;
	}

	async compareWithTrail(): Promise<TrailComparison> {
		const history = await listHistory({keyValue: this.#keyValue, limit: this.#limit(), count: Number.MAX_SAFE_INTEGER});
		if (history.err) {
			throw history.val;
		}

		const ids = history.val.edits.map(({editId}) => editId);
		const recorded = new Set(ids);
		const lostEdits = [...this.#accepted].filter(id => !recorded.has(id)).length;
		const unexpected = [...recorded].filter(id => !this.#accepted.has(id)).length;
		return {lostEdits, duplicateEdits: ids.length - recorded.size + unexpected};
	}

	async close(): Promise<void> {
		await this.#keyValue.close();
	}

	#limit(): TimeLimit {
		return new TimeLimit({clock: this.#clock, random: this.#random, milliseconds: LIMIT_MS});
	}
}
