/**
 * Token bucket of one organisation in one part. Tokens leave the level by `grant` and stay
 * outstanding until they are spent, returned or expired. Level plus outstanding never exceeds the
 * part's burst, so the tokens that can be admitted over any interval are at most burst + rate x t.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {isAtMost} from '../is-at-most/index.js';

/** Rate and burst of a bucket. */
export type BucketSize = {readonly tokensPerMs: number; readonly burst: number};

/** Start of a bucket: nothing is earned before `since`. */
export type BucketStart = {readonly since: MonotonicMs; readonly level: number};

/** Level and outstanding tokens of one organisation in one part. */
export class TokenBucket {
	private level: number;
	private filledAt: MonotonicMs;
	private outstanding = 0;
	/** Above the burst only after the burst was lowered, until the earlier grants are gone. */
	private ceiling: number;

	constructor(private size: BucketSize, start: BucketStart, private readonly invariants: InvariantChecker) {
		this.level = Math.min(start.level, size.burst);
		this.filledAt = start.since;
		this.ceiling = size.burst;
	}

	readLevel(now: MonotonicMs): number {
		this.fill(now);
		return this.level;
	}

	readOutstanding(): number {
		return this.outstanding;
	}

	/** Moves up to `tokens` from the level to the outstanding ones; returns how many. */
	grant(tokens: number, now: MonotonicMs): number {
		this.fill(now);
		const granted = Math.max(0, Math.min(tokens, this.level));
		this.level -= granted;
		this.outstanding += granted;
		this.check();
		return granted;
	}

	/** Ends outstanding tokens: they were spent, or count as spent. */
	spend(tokens: number, now: MonotonicMs): void {
		this.fill(now);
		this.outstanding = settleRounding(this.outstanding - tokens);
		this.ceiling = Math.max(this.size.burst, Math.min(this.ceiling, this.level + this.outstanding));
		this.check();
	}

	/** Moves outstanding tokens that nobody can spend any more back to the level. */
	return(tokens: number, now: MonotonicMs): void {
		this.fill(now);
		this.outstanding = settleRounding(this.outstanding - tokens);
		this.level = Math.max(0, Math.min(this.level + tokens, this.size.burst - this.outstanding));
		this.check();
	}

	/** Changes rate and burst. A higher burst adds no tokens; a lower one cuts the level at once. */
	resize(size: BucketSize, now: MonotonicMs): void {
		this.fill(now);
		this.size = size;
		this.level = Math.max(0, Math.min(this.level, size.burst - this.outstanding));
		this.ceiling = Math.max(size.burst, this.outstanding);
		this.check();
	}

	private fill(now: MonotonicMs): void {
		if (now <= this.filledAt) {
			return;
		}

		const room = Math.max(0, this.size.burst - this.outstanding);
		this.level = Math.min(room, this.level + ((now - this.filledAt) * this.size.tokensPerMs));
		this.filledAt = now;
	}

	private check(): void {
		const {level, outstanding, ceiling, invariants} = this;
		invariants.check('negativeTokens', isAtMost(0, level) && isAtMost(0, outstanding), `level ${level}, outstanding ${outstanding}`);
		invariants.check('partOverfull', isAtMost(level + outstanding, ceiling), `level ${level}, outstanding ${outstanding}, burst ${this.size.burst}`);
	}
}

/** Takes a difference that is only rounding for 0. */
function settleRounding(tokens: number): number {
	return Math.abs(tokens) < 1e-6 ? 0 : tokens;
}
