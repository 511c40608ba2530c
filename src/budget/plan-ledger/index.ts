/** Decides which parts an instance claims from the ledger and which it gives up. */

import type {InstanceId} from '../../identity/ids/index.js';
import {
	findSlot, freePart, newPart, scoreCandidate, type LedgerOwner, type LedgerRecord,
} from '../budget-ledger/index.js';
import {partCount, slotCount} from '../budget-timings/index.js';

/** The state that a plan depends on. */
export type LedgerSituation = {
	readonly self: InstanceId;
	readonly tenure: LedgerOwner;
	/** Live instances that are not leaving, this one included. */
	readonly live: readonly InstanceId[];
	/** Whether a part of this slot may be given up now. */
	readonly canGiveUp: (slot: number) => boolean;
	/** Whether the part has been free for so long that a fair share no longer matters. */
	readonly isLeftOver: (part: number) => boolean;
};

/** The ledger to write. */
export type LedgerPlan = {readonly record: LedgerRecord; readonly claimed: readonly number[]; readonly givenUp: readonly number[]};

type Counts = {readonly perSlot: Map<string, number>; readonly total: Map<string, number>};

/** Plans the next ledger; undefined when nothing is to be changed. */
export function planLedger(record: LedgerRecord, situation: LedgerSituation): LedgerPlan | undefined {
	const {self, tenure, live} = situation;
	const known = record.owners[self];
	const isEntered = known?.incarnation === tenure.incarnation && known.fencing === tenure.fencing && known.isShared === tenure.isShared;
	const perSlot = Math.ceil(partCount / live.length);
	const total = Math.ceil(partCount * slotCount / live.length);
	const counts = countParts(record);
	const claimed = selectClaims(record, situation, counts, {perSlot, total});
	const givenUp = claimed.length > 0 ? [] : selectGivenUp(record, situation, counts, {perSlot, total});
	const needsEntry = !isEntered && record.parts.includes(self);
	if (!needsEntry && claimed.length === 0 && givenUp.length === 0) {
		return undefined;
	}

	const parts = record.parts.map((owner, part) => {
		if (claimed.includes(part)) {
			return self;
		}

		return givenUp.includes(part) ? freePart : owner;
	});
	const handovers = Object.fromEntries(Object.entries(record.handovers).filter(([part]) => !claimed.includes(Number(part))));
	const planned = {
		...record, owners: {...record.owners, [self]: tenure}, parts, handovers,
	};
	return {record: planned, claimed, givenUp};
}

type Share = {readonly perSlot: number; readonly total: number};

function selectClaims(record: LedgerRecord, situation: LedgerSituation, counts: Counts, share: Share): number[] {
	const {self} = situation;
	const claimed: number[] = [];
	const mine = new Map<number, number>();
	let total = counts.total.get(self) ?? 0;
	// Each instance begins at another slot, so that instances that claim at once rarely want the same parts.
	const first = scoreCandidate('slots', self) % slotCount * partCount;
	for (let step = 0; step < record.parts.length; step += 1) {
		const part = (first + step) % record.parts.length;
		const slot = findSlot(part);
		const inSlot = (counts.perSlot.get(formatKey(slot, self)) ?? 0) + (mine.get(slot) ?? 0);
		const isFair = inSlot < share.perSlot && total < share.total;
		if (isUnowned(record, part) && (isFair || situation.isLeftOver(part))) {
			claimed.push(part);
			mine.set(slot, (mine.get(slot) ?? 0) + 1);
			total += 1;
		}
	}

	return claimed;
}

/** Selects at most half of the own parts of each slot, and only where another live instance would claim them. */
function selectGivenUp(record: LedgerRecord, situation: LedgerSituation, counts: Counts, share: Share): number[] {
	const {self, live, canGiveUp} = situation;
	const givenUp: number[] = [];
	const totals = new Map(counts.total);
	for (let slot = 0; slot < slotCount; slot += 1) {
		const numbers = Array.from({length: partCount}, (_, index) => (slot * partCount) + index);
		const own = numbers.filter(part => record.parts[part] === self);
		const isOver = own.length > share.perSlot || (totals.get(self) ?? 0) > share.total;
		if (!isOver || own[0] === undefined || numbers.some(part => isUnowned(record, part)) || !canGiveUp(slot)) {
			continue;
		}

		const taker = live.find(other => other !== self
			&& (counts.perSlot.get(formatKey(slot, other)) ?? 0) < share.perSlot
			&& (totals.get(other) ?? 0) < share.total);
		if (taker !== undefined) {
			const count = Math.max(1, Math.min(Math.floor(own.length / 2), own.length - share.perSlot));
			givenUp.push(...own.slice(0, count));
			totals.set(self, (totals.get(self) ?? 0) - count);
			totals.set(taker, (totals.get(taker) ?? 0) + count);
		}
	}

	return givenUp;
}

function countParts(record: LedgerRecord): Counts {
	const perSlot = new Map<string, number>();
	const total = new Map<string, number>();
	for (const [part, owner] of record.parts.entries()) {
		const key = formatKey(findSlot(part), owner);
		perSlot.set(key, (perSlot.get(key) ?? 0) + 1);
		total.set(owner, (total.get(owner) ?? 0) + 1);
	}

	return {perSlot, total};
}

function formatKey(slot: number, owner: string): string {
	return `${slot}\n${owner}`;
}

function isUnowned(record: LedgerRecord, part: number): boolean {
	return record.parts[part] === freePart || record.parts[part] === newPart;
}
