/** Waits after a crash until other instances have reported what they saw of it. */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CrashSource} from '../crash-evidence/index.js';

/** Time from a crash to the evaluation of its cause, in milliseconds. */
const evaluationDelayMs = 100;

/** Pause before an evaluation. */
export class EvaluationDelay {
	/** When this instance last saw a crash itself. */
	private ownCrashAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly clock: Clock) {}

	/** Records that this instance saw a crash itself. */
	recordOwnCrash(now: MonotonicMs): void {
		this.ownCrashAt = now;
	}

	/** Waits. Returns the time after that, and whether this instance or another one saw the crash. */
	async wait(): Promise<{readonly now: MonotonicMs; readonly source: CrashSource}> {
		await this.clock.sleep(evaluationDelayMs);
		const now = this.clock.readMonotonic();
		return {now, source: now - this.ownCrashAt <= 2 * evaluationDelayMs ? 'own' : 'peer'};
	}
}
