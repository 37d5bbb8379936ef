import {Stream, type Scheduler, type Sink} from 'most';

type Listener<Item> = (item: Item) => void;

/** A source of events. Its owner publishes; other slices read `changes` as a stream or subscribe directly. */
export class Publisher<Item> {
	/** All items published after the stream is observed. */
	readonly changes: Stream<Item>;
	readonly #listeners = new Set<Listener<Item>>();

	constructor() {
		this.changes = new Stream<Item>({
			run: (sink: Sink<Item>, scheduler: Scheduler) => {
				const unsubscribe = this.subscribe(item => {
					sink.event(scheduler.now(), item);
				});
				return {
					dispose() {
						unsubscribe();
					},
				};
			},
		});
	}

	/** @returns a function that ends the subscription. */
	subscribe(listener: Listener<Item>): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	publish(item: Item): void {
		for (const listener of this.#listeners) {
			listener(item);
		}
	}
}
