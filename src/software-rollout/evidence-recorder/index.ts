/**
 * Counts on one instance what its calls show about the versions of a service during one rollout.
 *
 * Requests in progress count with their age, since a slow version would otherwise show only its quick answers at first.
 */

import type {TargetCall} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {
	addCell, emptyCell, formatCellKey, type CellKey, type CellScope, type EvidenceCell, type EvidenceCells,
} from '../evidence-cell/index.js';
import {findBucket} from '../latency-histogram/index.js';

/** How a request to a target ended. `unanswered`: it was given up without a whole answer, for whatever reason. */
export type RequestOutcome = 'good' | 'failed' | 'unanswered' | 'notRun';

/** Shortest duration of a request without an answer that counts, in milliseconds, because callers may give up at any time. */
const minimumUnansweredMs = 1000;
/** Shortest age at which a request in progress counts, in milliseconds; younger ones would only make the messages larger. */
const minimumOpenMs = 250;

/** Sums of one instance. They are cumulative, so that a later report of a cell makes up for one that was lost. */
export class EvidenceRecorder {
	private readonly sums = new Map<CellKey, EvidenceCell>();
	private readonly open = new Map<TargetCall, CellKey>();
	private readonly changed = new Set<CellKey>();
	/** Buckets of the requests in progress at the last report, as text, by cell. */
	private reportedOpen = new Map<CellKey, string>();

	/** Records that a request is sent. */
	recordSent(scope: CellScope, call: TargetCall): void {
		const key = formatCellKey(scope);
		this.open.set(call, key);
		this.add(key, {...emptyCell, sent: 1});
	}

	/** Records the end of a request. */
	recordEnded(scope: CellScope, call: TargetCall, outcome: RequestOutcome, now: MonotonicMs): void {
		const key = formatCellKey(scope);
		const durationMs = now - call.sentAt;
		this.open.delete(call);
		if (outcome === 'failed') {
			this.add(key, {...emptyCell, answers: 1, failures: 1});
		} else if (outcome === 'good') {
			this.add(key, {...emptyCell, answers: 1, durations: new Map([[findBucket(durationMs), 1]])});
		} else if (outcome === 'unanswered' && durationMs >= minimumUnansweredMs) {
			this.add(key, {...emptyCell, durations: new Map([[findBucket(durationMs), 1]])});
		}
	}

	/** Returns all cells. */
	readCells(now: MonotonicMs): EvidenceCells {
		return this.addOpen(this.sums, this.groupOpen(now));
	}

	/** Returns the cells that have changed since the last call. */
	takeChanged(now: MonotonicMs): EvidenceCells {
		const openCells = this.groupOpen(now);
		const openTexts = new Map([...openCells].map(([key, cell]) => [key, JSON.stringify([...cell.durations])]));
		for (const key of new Set([...openTexts.keys(), ...this.reportedOpen.keys()])) {
			if (openTexts.get(key) !== this.reportedOpen.get(key)) {
				this.changed.add(key);
			}
		}

		const cells = new Map([...this.changed].map(key => [key, this.sums.get(key) ?? emptyCell]));
		this.changed.clear();
		this.reportedOpen = openTexts;
		return this.addOpen(cells, openCells);
	}

	/** Returns the requests in progress by cell, with their ages as durations. */
	private groupOpen(now: MonotonicMs): Map<CellKey, EvidenceCell> {
		const cells = new Map<CellKey, EvidenceCell>();
		for (const [{sentAt}, key] of this.open) {
			if (now - sentAt >= minimumOpenMs) {
				cells.set(key, addCell(cells.get(key) ?? emptyCell, {...emptyCell, durations: new Map([[findBucket(now - sentAt), 1]])}));
			}
		}

		return cells;
	}

	private addOpen(cells: EvidenceCells, openCells: EvidenceCells): EvidenceCells {
		return new Map([...cells].map(([key, cell]) => [key, addCell(cell, openCells.get(key) ?? emptyCell)]));
	}

	private add(key: CellKey, cell: EvidenceCell): void {
		this.sums.set(key, addCell(this.sums.get(key) ?? emptyCell, cell));
		this.changed.add(key);
	}
}
