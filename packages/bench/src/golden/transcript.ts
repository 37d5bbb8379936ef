import type {Log, LogFields} from '@yuccawood/common';

/**
Messages and decisions of a session, by actor.

Each actor's lines keep their order. Lines of different actors are not ordered among each other, because they run concurrently.
Addresses and ids that differ between runs are replaced by names.
*/
export class Transcript {
	readonly #lines = new Map<string, string[]>();
	readonly #names = new Map<string, string>();
	readonly #requestIds = new Map<string, string>();

	/** Gives a text that differs between runs, such as an address, a name. */
	name(text: string, name: string): void {
		this.#names.set(text, name);
	}

	/** Adds a line of an actor. */
	add(actor: string, line: string): void {
		const lines = this.#lines.get(actor) ?? [];
		lines.push(this.#normalise(line));
		this.#lines.set(actor, lines);
	}

	/** A log whose lines become part of the transcript, without fields that hold times. */
	log(actor: string, parts: ReadonlySet<string>): Log {
		const partLog = (prefix: string): Log => {
			const write = (message: string, fields: LogFields = {}): void => {
				const kept = Object.entries(fields).filter(([key]) => KEPT_FIELDS.has(key));
				const rest = kept.length === 0 ? '' : ` ${JSON.stringify(Object.fromEntries(kept))}`;
				if (parts.has(prefix)) {
					this.add(actor, `${prefix}: ${message}${rest}`);
				}
			};

			return {
				debug: () => undefined, info: write, warn: write, error: write, audit: write, part: partLog,
			};
		};

		return partLog('process');
	}

	/** The whole transcript, actors in the order of their names. */
	toString(): string {
		return [...this.#lines]
			.sort(([a], [b]) => a < b ? -1 : 1)
			.map(([actor, lines]) => [`== ${actor}`, ...lines, ''].join('\n'))
			.join('\n');
	}

	#normalise(line: string): string {
		let text = line;
		for (const [value, name] of this.#names) {
			text = text.replaceAll(value, name);
		}

		return text.replaceAll(REQUEST_ID_PATTERN, id => {
			const known = this.#requestIds.get(id) ?? `request-${this.#requestIds.size + 1}`;
			this.#requestIds.set(id, known);
			return known;
		});
	}
}

const KEPT_FIELDS: ReadonlySet<string> = new Set([
	'sign', 'from', 'vm', 'name', 'version', 'section', 'author', 'team', 'revision', 'baseRevision', 'kind', 'outcome', 'fingerprint', 'service',
]);

const REQUEST_ID_PATTERN = /\bentry-\d+\.[\w.-]+/g;
