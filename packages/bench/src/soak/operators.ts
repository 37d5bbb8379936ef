/** Operators of a soak run, who edit the document with the command line. */
import type {Random} from '@yuccawood/common';
import {modelSection} from '../fleet/document.js';
import {firstDocument, MODEL, routeSection} from './plan.js';
import type {SoakSystem} from './system.js';

export type EditCounts = {readonly accepted: number; readonly refused: number};

const MIN_DEADLINE_MS = 6000;
const MAX_DEADLINE_MS = 9000;

export class Operators {
	readonly #system: SoakSystem;
	readonly #random: Random;
	#version = 0;
	#accepted = 0;
	#refused = 0;

	constructor({system, random}: {readonly system: SoakSystem; readonly random: Random}) {
		this.#system = system;
		this.#random = random;
	}

	get counts(): EditCounts {
		return {accepted: this.#accepted, refused: this.#refused};
	}

	/** Writes the first document. */
	async begin(): Promise<void> {
		const {exitCode, output} = await this.#system.fleet.operate(['init', 'FILE'], {team: 'platform', file: firstDocument(this.#system.versions[0])});
		if (exitCode !== 0) {
			throw new Error(`The first document was refused: ${output}`);
		}
	}

	/** Rolls out the next version of the model. */
	async changeVersion(): Promise<void> {
		this.#version = (this.#version + 1) % this.#system.versions.length;
		await this.#edit(`model.${MODEL}`, modelSection(this.#system.versions[this.#version]), 'models');
	}

	/** Several teams edit at once, two of them the same section. */
	async race(): Promise<void> {
		const deadline = (): number => MIN_DEADLINE_MS + this.#random.below(MAX_DEADLINE_MS - MIN_DEADLINE_MS);
		await Promise.all([
			this.#edit('route.orders', routeSection(deadline()), 'routing'),
			this.#edit('route.orders', routeSection(deadline()), 'routing'),
			this.#edit('rollout', `balance = ${this.#random.next().toFixed(2)}\n`, 'models'),
		]);
	}

	async #edit(section: string, text: string, team: string): Promise<void> {
		const {exitCode} = await this.#system.fleet.operate(['apply', 'FILE', '--section', section], {team, author: `soak-${team}`, file: text});
		if (exitCode === 0) {
			this.#accepted++;
			return;
		}

		this.#refused++;
	}
}
