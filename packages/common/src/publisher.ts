import {from, type Stream} from 'most';

/** The key that most looks for; importing most defines it, because Node.js does not. */
const OBSERVABLE = (Symbol as unknown as {readonly observable: symbol}).observable;

type Listener<Item> = (item: Item) => void;

/** A source of events. Its owner publishes; other slices read `changes` as a stream or subscribe directly. */
export class Publisher<Item> {
	readonly #listeners = new Set<Listener<Item>>();

	/** All items published after the stream is observed. */
	get changes(): Stream<Item> {
		const subscribe = (observer: {readonly next?: (item: Item) => void}) => {
			const unsubscribe = this.subscribe(item => observer.next?.(item));
			return {unsubscribe};
		};

		const observable = {
			subscribe,
			[OBSERVABLE]: () => observable,
		};
		return from(observable as unknown as readonly Item[]);
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
