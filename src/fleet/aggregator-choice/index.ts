/**
 * Choice of the load aggregator that an instance reports to: the first one of the ranking that answers reports
 * with sums.
 *
 * An aggregator that crashed stays in the ranking until its liveness timeout. Its data centre would be without
 * knowledge of loads for so long if reporters did not turn to the next one as soon as sums are missing.
 */

import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {Member} from '../../membership/member/index.js';

/** Time without sums after which a reporter turns to the next aggregator, in milliseconds; several sums fit into it. */
export const sumsTimeoutMs = 700;
/** Time for which an aggregator that sent no sums is passed over, in milliseconds. */
const passOverMs = 3000;

/** Choice of one instance. */
export class AggregatorChoice {
	private current: InstanceId | undefined;
	/** When the current aggregator was chosen, or last sent sums. */
	private lastSumsAt = 0;
	private readonly passedOverUntil = new Map<InstanceId, number>();

	/** Chooses from `ranking`; undefined if it is empty. If all were silent, the first one is tried again. */
	choose(ranking: readonly Member[], now: MonotonicMs): Member | undefined {
		if (this.current !== undefined && now - this.lastSumsAt > sumsTimeoutMs) {
			this.passedOverUntil.set(this.current, now + passOverMs);
		}

		const chosen = ranking.find(member => now >= (this.passedOverUntil.get(member.id) ?? 0)) ?? ranking[0];
		if (chosen?.id !== this.current) {
			this.current = chosen?.id;
			this.lastSumsAt = now;
		}

		return chosen;
	}

	/** Records that `sender` sent sums. */
	recordSums(sender: InstanceId, now: MonotonicMs): void {
		this.passedOverUntil.delete(sender);
		if (sender === this.current) {
			this.lastSumsAt = now;
		}
	}
}
