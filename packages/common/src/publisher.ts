import {Stream, type Scheduler, type Sink} from 'most';

type Listener<Item> = (item: Item) => void;

/** Event source. The owner publishes items; other parts of the process observe the stream `changes` or subscribe a listener. */
export class Publisher<Item> {
	/** Stream of the items that are published from the time it is observed. */
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

	/** Calls all listeners synchronously. An error of a listener reaches the publisher. */
	publish(item: Item): void {
		for (const listener of this.#listeners) {
			listener(item);
		}
	}
}
