/**
 * Token bucket of one organisation in one budget part. `grant` moves tokens from the level to the
 * outstanding ones, where they stay until they are spent, returned or expired. Level plus outstanding
 * never exceeds the part's burst, so at most burst + rate x t tokens are admitted in any interval of length t.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {InvariantChecker} from '../../invariants/invariant-checker/index.js';
import {isAtMost} from '../is-at-most/index.js';

/** Rate and burst of a bucket. */
export type BucketSize = {readonly tokensPerMs: number; readonly burst: number};

/** Initial state of a bucket, which refills from `since` on. `outstanding` are the tokens granted by an earlier owner. */
export type BucketStart = {readonly since: MonotonicMs; readonly level: number; readonly outstanding: number};

/** Smaller amounts are not granted: they serve no request and cost as much as any other grant. */
const minimumGrantTokens = 1e-6;

/** Level and outstanding tokens of one organisation in one part. */
export class TokenBucket {
	private level: number;
	private refilledAt: MonotonicMs;
	private outstanding: number;
	/** Upper bound of level plus outstanding: the burst, or more after the burst was lowered, until earlier grants have ended. */
	private maximumTotal: number;

	constructor(private size: BucketSize, start: BucketStart, private readonly invariants: InvariantChecker) {
		this.outstanding = start.outstanding;
		this.level = Math.max(0, Math.min(start.level, size.burst - start.outstanding));
		this.refilledAt = start.since;
		this.maximumTotal = Math.max(size.burst, start.outstanding);
	}

	readLevel(now: MonotonicMs): number {
		this.refill(now);
		return this.level;
	}

	/** Level as a share of the burst; 0 if the burst is 0. */
	readLevelShare(now: MonotonicMs): number {
		this.refill(now);
		return this.size.burst > 0 ? this.level / this.size.burst : 0;
	}

	/** Outstanding tokens as a share of the burst. If the burst is 0, any outstanding tokens count as 1. */
	readOutstandingShare(): number {
		return this.size.burst > 0 ? this.outstanding / this.size.burst : Math.sign(this.outstanding);
	}

	readOutstanding(): number {
		return this.outstanding;
	}

	/** Moves up to `tokens` from the level to the outstanding ones and returns the number moved. */
	grant(tokens: number, now: MonotonicMs): number {
		this.refill(now);
		const available = Math.min(tokens, this.level);
		const granted = available < minimumGrantTokens ? 0 : available;
		this.level -= granted;
		this.outstanding += granted;
		this.checkInvariants();
		return granted;
	}

	/** Removes outstanding tokens that were spent or count as spent. */
	spend(tokens: number, now: MonotonicMs): void {
		this.refill(now);
		this.outstanding -= tokens;
		this.maximumTotal = Math.max(this.size.burst, Math.min(this.maximumTotal, this.level + this.outstanding));
		this.checkInvariants();
	}

	/** Moves outstanding tokens that can no longer be spent back to the level. */
	return(tokens: number, now: MonotonicMs): void {
		this.refill(now);
		this.outstanding -= tokens;
		this.level = Math.max(0, Math.min(this.level + tokens, this.size.burst - this.outstanding));
		this.checkInvariants();
	}

	/** Changes rate and burst. A higher burst adds no tokens; a lower one reduces the level at once. */
	resize(size: BucketSize, now: MonotonicMs): void {
		this.refill(now);
		this.size = size;
		this.level = Math.max(0, Math.min(this.level, size.burst - this.outstanding));
		this.maximumTotal = Math.max(size.burst, this.outstanding);
		this.checkInvariants();
	}

	private refill(now: MonotonicMs): void {
		if (now <= this.refilledAt) {
			return;
		}

		const maximumLevel = Math.max(0, this.size.burst - this.outstanding);
		this.level = Math.min(maximumLevel, this.level + ((now - this.refilledAt) * this.size.tokensPerMs));
		this.refilledAt = now;
	}

	private checkInvariants(): void {
		const {level, outstanding, maximumTotal, invariants} = this;
		invariants.check('negativeTokens', isAtMost(0, level) && isAtMost(0, outstanding), `level ${level}, outstanding ${outstanding}`);
		invariants.check('partOverfull', isAtMost(level + outstanding, maximumTotal), `level ${level}, outstanding ${outstanding}, burst ${this.size.burst}`);
	}
}
