/** Creates `most` streams from push sources. */

import {
	from, type Observable, type Stream, type Subscriber,
} from 'most';

/** Starts to push values to `subscriber`; returns a function that stops it. */
export type Producer<Value> = (subscriber: Subscriber<Value>) => () => void;

// `most` defines `Symbol.observable` when it is loaded.
const observableSymbol = (Symbol as unknown as {readonly observable: symbol}).observable;

/** Creates a stream that runs `producer` once for each observer. */
export function createStream<Value>(producer: Producer<Value>): Stream<Value> {
	const source = {
		[observableSymbol]: () => source,
		subscribe(subscriber: Subscriber<Value>) {
			return {unsubscribe: producer(subscriber)};
		},
	};
	return from(source as unknown as Observable<Value>);
}
