/**
 * Sums of what calls showed about the versions of a service. A cell holds the sums of one version lane, route and group of
 * targets. Groups are few, so that the sums stay small in a large fleet; they tell one faulty target from a bad version.
 */

import {LRUCache} from 'lru-cache';
import type {RouteId, TargetId} from '../../identity/ids/index.js';
import {hashToNumber} from '../../random/hash-to-number/index.js';
import type {LatencyHistogram} from '../latency-histogram/index.js';
import type {VersionLane} from '../rollout-types/index.js';

/** Sums of one cell. */
export type EvidenceCell = {
	/** Requests sent. */
	readonly sent: number;
	/** Answers and failed requests. */
	readonly answers: number;
	/** Answers with an error of the server, broken answers and requests without an answer. */
	readonly failures: number;
	/** Durations of good answers and of requests given up without one; in reports also the ages of requests in progress. */
	readonly durations: LatencyHistogram;
};

/** What a cell is about. */
export type CellScope = {readonly lane: VersionLane; readonly route: RouteId; readonly group: number};

/** Name of a cell in messages and maps. */
export type CellKey = string;

/** Cells by key. */
export type EvidenceCells = ReadonlyMap<CellKey, EvidenceCell>;

/** Number of groups of targets. */
export const groupCount = 16;

const maximumParsedKeys = 2000;
const parsedKeys = new LRUCache<CellKey, CellScope>({max: maximumParsedKeys});

/** A cell without any request. */
export const emptyCell: EvidenceCell = {
	sent: 0, answers: 0, failures: 0, durations: new Map(),
};

/** Returns the group of a target. */
export function findGroup(target: TargetId): number {
	return hashToNumber(target) % groupCount;
}

/** Formats the key of a cell. */
export function formatCellKey({lane, route, group}: CellScope): CellKey {
	return `${lane} ${group} ${route}`;
}

/** Parses the key of a cell. Results are cached, because each judgement parses all keys several times. */
export function parseCellKey(key: CellKey): CellScope {
	const known = parsedKeys.get(key);
	if (known !== undefined) {
		return known;
	}

	const [lane = '', group = '', ...route] = key.split(' ');
	const scope: CellScope = {lane: lane === 'new' ? 'new' : 'previous', group: Number(group), route: route.join(' ') as RouteId};
	parsedKeys.set(key, scope);
	return scope;
}

/** Adds `factor` times a cell to another. */
export function addCell(cell: EvidenceCell, other: EvidenceCell, factor: 1 | -1 = 1): EvidenceCell {
	const durations = new Map(cell.durations);
	for (const [bucket, count] of other.durations) {
		durations.set(bucket, (durations.get(bucket) ?? 0) + (factor * count));
	}

	return {
		sent: cell.sent + (factor * other.sent), answers: cell.answers + (factor * other.answers),
		failures: cell.failures + (factor * other.failures), durations,
	};
}

/** Subtracts `earlier` from `cells`, cell by cell. */
export function subtractCells(cells: EvidenceCells, earlier: EvidenceCells): EvidenceCells {
	return new Map([...cells].map(([key, cell]) => [key, addCell(cell, earlier.get(key) ?? emptyCell, -1)]));
}

/** Sums the cells that `isWanted` selects. */
export function sumCells(cells: EvidenceCells, isWanted: (scope: CellScope) => boolean): EvidenceCell {
	let sum = emptyCell;
	for (const [key, cell] of cells) {
		if (isWanted(parseCellKey(key))) {
			sum = addCell(sum, cell);
		}
	}

	return sum;
}
