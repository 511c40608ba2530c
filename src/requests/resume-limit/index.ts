/**
 * Limits how often a broken stream is resumed at its engine. A run that another engine can replace is given up after a few
 * resumes without a new chunk. One that nothing can replace is given up only when its engine has been out of reach for as long
 * as an engine may be silent.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';

/** Consecutive resumes without a new chunk, for a run that can be replaced. */
const maximumResumesWithoutProgress = 2;

/** Limit of the resumes of one stream. */
export class ResumeLimit {
	/** Number of resumes since the last new chunk. */
	resumes = 0;
	private lastOffset = 0;
	private brokenSince: MonotonicMs | undefined;
	private hasEnded = false;

	/** `silenceMs` is the time for which an engine may send nothing. */
	constructor(private readonly silenceMs: number) {}

	/** Counts a resume at `offset` of a stream that broke at `now`, if one more is allowed. Returns whether it is. */
	tryResume(offset: number, isReplaceable: boolean, now: MonotonicMs): boolean {
		if (this.brokenSince === undefined || offset > this.lastOffset) {
			this.lastOffset = offset;
			this.brokenSince = now;
			this.resumes = 0;
		}

		this.resumes += 1;
		return !this.hasEnded && this.isWithinLimit(isReplaceable, now - this.brokenSince);
	}

	/** Allows no more resumes, since the engine no longer has the stream. */
	end(): void {
		this.hasEnded = true;
	}

	private isWithinLimit(isReplaceable: boolean, brokenMs: number): boolean {
		return this.resumes <= maximumResumesWithoutProgress || (!isReplaceable && brokenMs < this.silenceMs);
	}
}
