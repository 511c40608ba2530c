/** Messages about rollouts between the instances, and their form in datagrams. */

import type {Incarnation, InstanceId} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {CellKey, EvidenceCell, EvidenceCells} from '../evidence-cell/index.js';
import type {RolloutStatus} from '../rollout-types/index.js';

/** Type of datagrams with an `EvidenceMessage`. */
export const evidenceMessageType = 'software-evidence';
/** Type of datagrams with a `StopMessage`. */
export const stopMessageType = 'software-stop';
/** Type of datagrams with a `StatusMessage`. */
export const statusMessageType = 'software-status';

/** A cell: its key, requests sent, answers, failures, and the durations as alternating buckets and counts. */
export type CellEntry = readonly [key: CellKey, sent: number, answers: number, failures: number, durations: readonly number[]];

/** What an instance has seen of one rollout. */
export type EvidenceMessage = {
	readonly from: InstanceId;
	readonly incarnation: Incarnation;
	readonly service: ServiceId;
	/** Number of the order. */
	readonly order: number;
	readonly ageMs: number;
	readonly write: number;
	readonly callsLeft: number;
	readonly cells: readonly CellEntry[];
};

/** States that a version is bad. */
export type StopMessage = {readonly from: InstanceId; readonly service: ServiceId; readonly order: number; readonly reason: string};

/** States what the lease holder has written. */
export type StatusMessage = {readonly service: ServiceId; readonly status: RolloutStatus};

/** Formats cells. */
export function formatCells(cells: EvidenceCells): CellEntry[] {
	return [...cells].map(([key, {sent, answers, failures, durations}]) => [key, sent, answers, failures, [...durations].flat()]);
}

/** Parses cells. */
export function parseCells(entries: readonly CellEntry[]): EvidenceCells {
	return new Map(entries.map(([key, sent, answers, failures, flat]): [CellKey, EvidenceCell] => {
		const durations = new Map<number, number>();
		for (let index = 0; index + 1 < flat.length; index += 2) {
			durations.set(flat[index]!, flat[index + 1]!);
		}

		return [key, {
			sent, answers, failures, durations,
		}];
	}));
}
