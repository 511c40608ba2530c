/** Decides which parts an instance claims from the ledger and which it gives up. */

import type {InstanceId} from '../../identity/ids/index.js';
import {
	findSlotOfPart, freePartMark, newPartMark, scoreCandidate, type LedgerOwner, type LedgerRecord,
} from '../budget-ledger/index.js';
import {partsPerSlot, slotCount} from '../budget-timings/index.js';

/** Inputs that a plan depends on besides the ledger record. */
export type LedgerPlanInput = {
	readonly self: InstanceId;
	readonly term: LedgerOwner;
	/** Live instances that are not leaving, including this one. */
	readonly live: readonly InstanceId[];
	/** Whether a part of this slot may be given up now. */
	readonly canGiveUp: (slot: number) => boolean;
	/** Whether the part has been free for so long that it may be claimed beyond the fair share. */
	readonly mayExceedShare: (part: number) => boolean;
};

/** The ledger record to write, with the parts that it claims and gives up. */
export type LedgerPlan = {readonly record: LedgerRecord; readonly claimed: readonly number[]; readonly givenUp: readonly number[]};

/** Numbers of parts by owner, in each slot and in total. */
type PartCounts = {readonly perSlot: Map<string, number>; readonly total: Map<string, number>};

/** Plans the next ledger record. Returns undefined if nothing has to change. */
export function planLedger(record: LedgerRecord, input: LedgerPlanInput): LedgerPlan | undefined {
	const {self, term, live} = input;
	const currentEntry = record.owners[self];
	const isRecorded = currentEntry?.incarnation === term.incarnation && currentEntry.fencing === term.fencing && currentEntry.isShared === term.isShared;
	const perSlot = Math.ceil(partsPerSlot / live.length);
	const total = Math.ceil(partsPerSlot * slotCount / live.length);
	const counts = countParts(record);
	const claimed = selectClaims(record, input, counts, {perSlot, total});
	const givenUp = claimed.length > 0 ? [] : selectGivenUp(record, input, counts, {perSlot, total});
	const needsEntry = !isRecorded && record.parts.includes(self);
	if (!needsEntry && claimed.length === 0 && givenUp.length === 0) {
		return undefined;
	}

	const parts = record.parts.map((owner, part) => {
		if (claimed.includes(part)) {
			return self;
		}

		return givenUp.includes(part) ? freePartMark : owner;
	});
	const handovers = Object.fromEntries(Object.entries(record.handovers).filter(([part]) => !claimed.includes(Number(part))));
	const planned = {
		...record, owners: {...record.owners, [self]: term}, parts, handovers,
	};
	return {record: planned, claimed, givenUp};
}

/** Number of parts that each instance may claim, in one slot and in total. */
type FairShare = {readonly perSlot: number; readonly total: number};

function selectClaims(record: LedgerRecord, input: LedgerPlanInput, counts: PartCounts, share: FairShare): number[] {
	const {self} = input;
	const claimed: number[] = [];
	const claimedPerSlot = new Map<number, number>();
	let total = counts.total.get(self) ?? 0;
	// Instances start at different slots, so that concurrent claims rarely want the same parts.
	const firstPart = scoreCandidate('slots', self) % slotCount * partsPerSlot;
	for (let offset = 0; offset < record.parts.length; offset += 1) {
		const part = (firstPart + offset) % record.parts.length;
		const slot = findSlotOfPart(part);
		const ownedInSlot = (counts.perSlot.get(formatSlotOwnerKey(slot, self)) ?? 0) + (claimedPerSlot.get(slot) ?? 0);
		const isWithinShare = ownedInSlot < share.perSlot && total < share.total;
		if (isUnowned(record, part) && (isWithinShare || input.mayExceedShare(part))) {
			claimed.push(part);
			claimedPerSlot.set(slot, (claimedPerSlot.get(slot) ?? 0) + 1);
			total += 1;
		}
	}

	return claimed;
}

/** Selects at most half of the own parts of each slot but at least one, and only if another live instance would claim them. */
function selectGivenUp(record: LedgerRecord, input: LedgerPlanInput, counts: PartCounts, share: FairShare): number[] {
	const {self, live, canGiveUp} = input;
	const givenUp: number[] = [];
	const totalsByOwner = new Map(counts.total);
	for (let slot = 0; slot < slotCount; slot += 1) {
		const slotParts = Array.from({length: partsPerSlot}, (_, index) => (slot * partsPerSlot) + index);
		const ownParts = slotParts.filter(part => record.parts[part] === self);
		const isOverShare = ownParts.length > share.perSlot || (totalsByOwner.get(self) ?? 0) > share.total;
		if (!isOverShare || ownParts[0] === undefined || slotParts.some(part => isUnowned(record, part)) || !canGiveUp(slot)) {
			continue;
		}

		const recipient = live.find(other => other !== self
			&& (counts.perSlot.get(formatSlotOwnerKey(slot, other)) ?? 0) < share.perSlot
			&& (totalsByOwner.get(other) ?? 0) < share.total);
		if (recipient !== undefined) {
			const givenUpCount = Math.max(1, Math.min(Math.floor(ownParts.length / 2), ownParts.length - share.perSlot));
			givenUp.push(...ownParts.slice(0, givenUpCount));
			totalsByOwner.set(self, (totalsByOwner.get(self) ?? 0) - givenUpCount);
			totalsByOwner.set(recipient, (totalsByOwner.get(recipient) ?? 0) + givenUpCount);
		}
	}

	return givenUp;
}

function countParts(record: LedgerRecord): PartCounts {
	const perSlot = new Map<string, number>();
	const total = new Map<string, number>();
	for (const [part, owner] of record.parts.entries()) {
		const key = formatSlotOwnerKey(findSlotOfPart(part), owner);
		perSlot.set(key, (perSlot.get(key) ?? 0) + 1);
		total.set(owner, (total.get(owner) ?? 0) + 1);
	}

	return {perSlot, total};
}

function formatSlotOwnerKey(slot: number, owner: string): string {
	return `${slot}\n${owner}`;
}

function isUnowned(record: LedgerRecord, part: number): boolean {
	return record.parts[part] === freePartMark || record.parts[part] === newPartMark;
}
