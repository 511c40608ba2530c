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

/** Start of a bucket: nothing is earned before `since`. `outstanding` are grants of an earlier owner. */
export type BucketStart = {readonly since: MonotonicMs; readonly level: number; readonly outstanding: number};

/** Less than this is not granted: it serves no request and costs as much as any grant. */
const smallestGrant = 1e-6;

/** Level and outstanding tokens of one organisation in one part. */
export class TokenBucket {
	private level: number;
	private filledAt: MonotonicMs;
	private outstanding: number;
	/** Above the burst only after the burst was lowered, until the earlier grants are gone. */
	private ceiling: number;

	constructor(private size: BucketSize, start: BucketStart, private readonly invariants: InvariantChecker) {
		this.outstanding = start.outstanding;
		this.level = Math.max(0, Math.min(start.level, size.burst - start.outstanding));
		this.filledAt = start.since;
		this.ceiling = Math.max(size.burst, start.outstanding);
	}

	readLevel(now: MonotonicMs): number {
		this.fill(now);
		return this.level;
	}

	/** Level as a share of the burst; 0 without a burst. */
	readLevelShare(now: MonotonicMs): number {
		this.fill(now);
		return this.size.burst > 0 ? this.level / this.size.burst : 0;
	}

	/** Outstanding tokens as a share of the burst; 1 when they have no burst to relate to. */
	readOutstandingShare(): number {
		return this.size.burst > 0 ? this.outstanding / this.size.burst : Math.sign(this.outstanding);
	}

	readOutstanding(): number {
		return this.outstanding;
	}

	/** Moves up to `tokens` from the level to the outstanding ones; returns how many. */
	grant(tokens: number, now: MonotonicMs): number {
		this.fill(now);
		const available = Math.min(tokens, this.level);
		const granted = available < smallestGrant ? 0 : available;
		this.level -= granted;
		this.outstanding += granted;
		this.check();
		return granted;
	}

	/** Ends outstanding tokens: they were spent, or count as spent. */
	spend(tokens: number, now: MonotonicMs): void {
		this.fill(now);
		this.outstanding -= tokens;
		this.ceiling = Math.max(this.size.burst, Math.min(this.ceiling, this.level + this.outstanding));
		this.check();
	}

	/** Moves outstanding tokens that nobody can spend any more back to the level. */
	return(tokens: number, now: MonotonicMs): void {
		this.fill(now);
		this.outstanding -= tokens;
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
