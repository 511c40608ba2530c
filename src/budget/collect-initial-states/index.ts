/** Finds the parts whose earlier grants are known when an instance claims them. */

import type {InstanceId} from '../../identity/ids/index.js';
import {
	freePartMark, newPartMark, type LedgerRecord, type PartHandover,
} from '../budget-ledger/index.js';

/** Returns the initial states of such parts for `self`, from the ledger record before they were claimed. */
export function collectInitialStates(previousRecord: LedgerRecord, self: InstanceId): Map<number, PartHandover> {
	const initialStates = new Map<number, PartHandover>();
	const isUnshared = previousRecord.owners[self]?.isShared === false;
	for (const [part, owner] of previousRecord.parts.entries()) {
		const handover = previousRecord.handovers[part];
		if (owner === newPartMark) {
			initialStates.set(part, {level: 1, outstanding: 0});
		} else if (owner === freePartMark && handover !== undefined) {
			initialStates.set(part, handover);
		} else if (owner === self && isUnshared) {
			// The previous incarnation granted tokens only to itself, and these grants ended with it.
			initialStates.set(part, {level: 0, outstanding: 0});
		}
	}

	return initialStates;
}
