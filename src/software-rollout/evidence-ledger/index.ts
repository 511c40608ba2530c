/** Evidence of the whole fleet about one rollout: sums of what the instances report, over several spans of time. */

import type {Incarnation, InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import {
	addCell, emptyCell, parseCellKey, subtractCells, sumCells, type CellKey, type EvidenceCell, type EvidenceCells,
} from '../evidence-cell/index.js';
import type {EvidenceSpan} from '../judge-version/index.js';
import {calculateUpperBoundMs, findQuantile} from '../latency-histogram/index.js';

/** What one instance reports about a rollout. */
export type EvidenceReport = {
	readonly from: InstanceId;
	readonly incarnation: Incarnation;
	/** Number of the newest status write that the instance knows. */
	readonly write: number;
	/** Calls in progress at targets of other versions than the new one, or that may still go there. */
	readonly callsLeft: number;
	/** Cells that have changed, each with all its sums. */
	readonly cells: EvidenceCells;
};

/** Calls left at the old version, as far as the instances have stated them. */
export type CallsLeft = {readonly count: number; readonly haveAllStated: boolean};

type Reporter = {readonly cells: Map<CellKey, EvidenceCell>};
type Statement = {readonly incarnation: Incarnation; readonly write: number; readonly callsLeft: number; readonly heardAt: MonotonicMs};

/** Time between two snapshots of the sums, in milliseconds. */
const snapshotIntervalMs = 500;
/** Lengths of the spans that are judged beside the whole, in milliseconds. */
const spanLengthsMs = [1500, 4000] as const;
/** Time for which a statement of calls left counts, in milliseconds. */
const statementValidMs = 1000;
/** Quantile of the durations that counts as typical. */
const typicalQuantile = 0.5;
/** Fraction of the calls at the old version that a shift waits for. */
const drainQuantile = 0.999;

/** Sums of all reports on one rollout. */
export class EvidenceLedger {
	private readonly reporters = new Map<string, Reporter>();
	private readonly statements = new Map<InstanceId, Statement>();
	private readonly totals = new Map<CellKey, EvidenceCell>();
	private snapshots: Array<{readonly at: MonotonicMs; readonly cells: EvidenceCells}> = [];

	/** Adds what a report has beyond the earlier ones of the same process. */
	record({from, incarnation, write, callsLeft, cells}: EvidenceReport, now: MonotonicMs): void {
		this.takeSnapshot(now);
		const key = `${from} ${incarnation}`;
		const reporter = this.reporters.get(key) ?? {cells: new Map<CellKey, EvidenceCell>()};
		this.reporters.set(key, reporter);
		for (const [cellKey, cell] of cells) {
			const before = reporter.cells.get(cellKey) ?? emptyCell;
			// An older message that was delayed has less.
			if (cell.sent + cell.answers >= before.sent + before.answers) {
				this.totals.set(cellKey, addCell(addCell(this.totals.get(cellKey) ?? emptyCell, cell), before, -1));
				reporter.cells.set(cellKey, cell);
			}
		}

		if ((this.statements.get(from)?.incarnation ?? '') <= incarnation) {
			this.statements.set(from, {
				incarnation, write, callsLeft, heardAt: now,
			});
		}
	}

	/** Returns the evidence of the last seconds and, as the last span, of the whole rollout. */
	listSpans(now: MonotonicMs): EvidenceSpan[] {
		this.takeSnapshot(now);
		const recent = spanLengthsMs.map(ms => ({name: `last ${ms} ms`, lengthMs: ms, cells: subtractCells(this.totals, this.findCellsAt(now - ms))}));
		return [...recent, {name: 'since the order', lengthMs: Infinity, cells: this.totals}];
	}

	/** Counts the requests sent to all versions. */
	countRequests(): number {
		return sumCells(this.totals, () => true).sent;
	}

	/** Sums the evidence on the new version. */
	sumNew(): EvidenceCell {
		return sumCells(this.totals, ({lane}) => lane === 'new');
	}

	/** Estimates the time within which half of the calls at the old version end, and nearly all of them; undefined without any. */
	estimateDurations(): {readonly typicalMs: number | undefined; readonly drainMs: number | undefined} {
		const {durations} = sumCells(this.totals, ({lane}) => lane === 'previous');
		const [typical, longest] = [typicalQuantile, drainQuantile].map(fraction => findQuantile(durations, fraction));
		return {
			typicalMs: typical === undefined ? undefined : calculateUpperBoundMs(typical),
			drainMs: longest === undefined ? undefined : calculateUpperBoundMs(longest),
		};
	}

	/** Sums up the calls left at the old version that the live instances have stated, and tells whether all know status write `write`. */
	countCallsLeft(live: readonly InstanceId[], write: number, now: MonotonicMs): CallsLeft {
		let count = 0;
		let haveAllStated = true;
		for (const id of live) {
			const statement = this.statements.get(id);
			const isRecent = statement !== undefined && now - statement.heardAt <= statementValidMs;
			count += isRecent ? statement.callsLeft : 0;
			haveAllStated &&= isRecent && statement.write >= write;
		}

		return {count, haveAllStated};
	}

	/** Describes the evidence for a dump: sent, answers and failures by version and route. */
	dump(): unknown {
		const routes = new Set([...this.totals.keys()].map(key => {
			const {lane, route} = parseCellKey(key);
			return `${lane} ${route}`;
		}));
		return Object.fromEntries([...routes].map(name => {
			const {sent, answers, failures} = sumCells(this.totals, ({lane, route}) => `${lane} ${route}` === name);
			return [name, {sent, answers, failures}];
		}));
	}

	/** Keeps the sums of the past that spans begin with. */
	private takeSnapshot(now: MonotonicMs): void {
		const last = this.snapshots.at(-1);
		if (last !== undefined && now - last.at < snapshotIntervalMs) {
			return;
		}

		this.snapshots.push({at: now, cells: new Map(this.totals)});
		const oldest = now - Math.max(...spanLengthsMs) - snapshotIntervalMs;
		this.snapshots = this.snapshots.filter(({at}) => at >= oldest);
	}

	/** Finds the sums at `at` or a little before; those of the first snapshot if there is none. */
	private findCellsAt(at: number): EvidenceCells {
		return (this.snapshots.findLast(snapshot => snapshot.at <= at) ?? this.snapshots[0])?.cells ?? new Map();
	}
}
