/** Operators of a soak run, who edit sections of the document as the command line does. */
import {
	SystemClock, systemRandom, type Random,
} from '@yuccawood/common';
import {
	applyEdit, initialiseDocument, listHistory, readHead, TimeLimit,
} from '@yuccawood/configuration';
import {HttpKeyValueService} from '@yuccawood/interfaces';
import {modelSection} from '../fleet/document.js';
import type {EditRecord} from './evidence.js';
import {firstDocument, MODEL, routeSection} from './plan.js';
import type {SoakSystem} from './system.js';

const MIN_DEADLINE_MS = 6000;
const MAX_DEADLINE_MS = 9000;
const EDIT_LIMIT_MS = 10_000;
const READ_LIMIT_MS = 20_000;

export class Operators {
	readonly #system: SoakSystem;
	readonly #random: Random;
	readonly #records: EditRecord[] = [];
	#service: HttpKeyValueService | undefined;
	#version = 0;
	#sequence = 0;

	constructor({system, random}: {readonly system: SoakSystem; readonly random: Random}) {
		this.#system = system;
		this.#random = random;
	}

	/** Edits with what their authors were told. */
	get records(): readonly EditRecord[] {
		return this.#records;
	}

	/** Writes the first document. */
	async begin(): Promise<void> {
		this.#service = new HttpKeyValueService({address: this.#system.fleet.platform.keyValue});
		const written = await initialiseDocument({
			keyValue: this.#keyValue, author: 'soak', team: 'platform', editId: 'first', text: firstDocument(this.#system.versions[0]),
		});
		written.unwrap();
	}

	/** Rolls out the next version of the model. */
	async changeVersion(): Promise<void> {
		this.#version = (this.#version + 1) % this.#system.versions.length;
		await this.#edit(`model.${MODEL}`, modelSection(this.#system.versions[this.#version]), 'models');
	}

	/** Several teams edit at once, two of them the same section. */
	async race(): Promise<void> {
		const deadline = (): number => MIN_DEADLINE_MS + this.#random.nextInteger(MAX_DEADLINE_MS - MIN_DEADLINE_MS);
		await Promise.all([
			this.#edit('route.orders', routeSection(deadline()), 'routing'),
			this.#edit('route.orders', routeSection(deadline()), 'routing'),
			this.#edit('rollout', `balance = ${this.#random.next().toFixed(2)}\n`, 'models'),
		]);
	}

	/** Ids of all edits in the history of the document, newest first. */
	async history(): Promise<readonly string[]> {
		const history = await listHistory({keyValue: this.#keyValue, limit: timeLimit(), count: Number.POSITIVE_INFINITY});
		return history.unwrap().edits.map(({editId}) => editId);
	}

	/** Manifest that the document names for the model. */
	async wantedManifest(): Promise<string> {
		const head = await readHead({keyValue: this.#keyValue, limit: timeLimit()});
		return /[\da-f]{64}/.exec(head.unwrap().head.sections[`model.${MODEL}`].text)![0];
	}

	async close(): Promise<void> {
		await this.#service?.close();
	}

	get #keyValue(): HttpKeyValueService {
		if (!this.#service) {
			throw new Error('The operators have not begun.');
		}

		return this.#service;
	}

	async #edit(section: string, text: string, team: string): Promise<void> {
		this.#sequence++;
		const editId = `edit-${this.#sequence}`;
		const head = await readHead({keyValue: this.#keyValue, limit: timeLimit()});
		if (head.err) {
			this.#records.push({editId, result: 'refused', reason: head.val.kind});
			return;
		}

		const baseRevision = head.val.head.sections[section]?.revision ?? 0;
		const outcome = await applyEdit({
			keyValue: this.#keyValue,
			timeLimitMs: EDIT_LIMIT_MS,
			edit: {
				editId, author: `soak-${team}`, team, section, baseRevision, text,
			},
		});
		const reason = outcome.err ? outcome.val.kind : undefined;
		const failure = reason === 'unknown-outcome' ? 'unknown' as const : 'refused' as const;
		this.#records.push({editId, result: outcome.ok ? 'accepted' : failure, reason});
	}
}

const timeLimit = (): TimeLimit => new TimeLimit({clock: new SystemClock(), random: systemRandom(), milliseconds: READ_LIMIT_MS});
