/** Counts on one instance what its calls show about the versions of a service during one rollout. */

import {
	addCell, emptyCell, formatCellKey, type CellKey, type CellScope, type EvidenceCell, type EvidenceCells,
} from '../evidence-cell/index.js';
import {findBucket} from '../latency-histogram/index.js';

/** How a request to a target ended. `unanswered`: it was given up without an answer, for whatever reason. */
export type RequestOutcome = 'good' | 'failed' | 'unanswered';

/** Shortest wait without an answer that counts, in milliseconds. Callers may give up at any time. */
const minimumUnansweredMs = 1000;

/** Sums of one instance. They only grow, so that a message that is lost costs nothing once the next one arrives. */
export class EvidenceRecorder {
	private readonly sums = new Map<CellKey, EvidenceCell>();
	private readonly changed = new Set<CellKey>();

	get cells(): EvidenceCells {
		return this.sums;
	}

	/** Records that a request is sent. */
	recordSent(scope: CellScope): void {
		this.add(scope, {...emptyCell, sent: 1});
	}

	/** Records the end of a request that took `durationMs`. */
	recordOutcome(scope: CellScope, outcome: RequestOutcome, durationMs: number): void {
		if (outcome === 'failed') {
			this.add(scope, {...emptyCell, answers: 1, failures: 1});
		} else if (outcome === 'good') {
			this.add(scope, {...emptyCell, answers: 1, durations: new Map([[findBucket(durationMs), 1]])});
		} else if (durationMs >= minimumUnansweredMs) {
			this.add(scope, {...emptyCell, durations: new Map([[findBucket(durationMs), 1]])});
		}
	}

	/** Returns the cells that have changed since the last call. */
	takeChanged(): EvidenceCells {
		const cells = new Map([...this.changed].map(key => [key, this.sums.get(key)!]));
		this.changed.clear();
		return cells;
	}

	private add(scope: CellScope, cell: EvidenceCell): void {
		const key = formatCellKey(scope);
		this.sums.set(key, addCell(this.sums.get(key) ?? emptyCell, cell));
		this.changed.add(key);
	}
}
