/**
 * Parts that may cause crashes which came at too few instants to tell. Calls with such a part are sent one at a time, each as
 * the trial of one instance: a complete answer clears the part, and a further crash is one in sequence.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {PartKey} from '../part-key/index.js';

/** Time after which what is known is evaluated again before a call is held back by it, in milliseconds. */
const validityMs = 200;

/** Suspected parts, as known to one instance. */
export class SuspectedParts {
	private parts: ReadonlySet<PartKey> = new Set();
	private updatedAt = Number.NEGATIVE_INFINITY;

	/** `findSuspects` evaluates the present evidence. */
	constructor(private readonly findSuspects: (now: MonotonicMs) => readonly PartKey[], private readonly logger: EventLogger) {}

	get isEmpty(): boolean {
		return this.parts.size === 0;
	}

	/** Whether a part is suspected at `now`. */
	has(part: PartKey, now: MonotonicMs): boolean {
		if (this.parts.has(part) && now - this.updatedAt > validityMs) {
			this.update(now);
		}

		return this.parts.has(part);
	}

	/** Evaluates the evidence again. */
	update(now: MonotonicMs): void {
		const parts = new Set(this.findSuspects(now));
		for (const part of [...parts].filter(candidate => !this.parts.has(candidate))) {
			this.logger.warn('prompt part suspected', {part});
		}

		for (const part of [...this.parts].filter(candidate => !parts.has(candidate))) {
			this.logger.info('prompt part no longer suspected', {part});
		}

		this.parts = parts;
		this.updatedAt = now;
	}

	/** Removes parts that a complete answer has cleared. */
	clear(clearedParts: readonly PartKey[]): void {
		if (!this.isEmpty) {
			this.parts = new Set([...this.parts].filter(part => !clearedParts.includes(part)));
		}
	}

	/** Lists the parts that are suspected at `now`. */
	list(now: MonotonicMs): PartKey[] {
		return [...this.parts].filter(part => this.has(part, now));
	}
}
