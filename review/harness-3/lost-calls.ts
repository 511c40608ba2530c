/** Checks the rule LOST for calls on kept connections, and describes what was found. */

import type {CaseRecord} from './record.js';
import type {SteadyCall} from './steady-callers.js';

/** Calls that one machine may lose in this way. */
const allowedLosses = 3;

/**
 * Returns whether the rule is broken: of the calls on kept connections that reached a sound target (`reached` has their ids), some
 * machine has closed the connections of more than three without an answer.
 */
export function checkLostCalls(calls: readonly SteadyCall[], reached: ReadonlySet<string>, record: CaseRecord): boolean {
	const lost = calls.filter(({id, isOnKeptConnection, isClosed}) => isOnKeptConnection && isClosed && reached.has(id));
	for (const {id, address} of lost) {
		record.write(`lost: ${id} at ${address} had reached a sound target`);
	}

	const isBroken = lost.length > allowedLosses;
	record.conclude(`LOST ${isBroken ? 'broken' : 'held'}: ${lost.length} calls on kept connections that sound targets ran were closed without an answer, ${allowedLosses} allowed`);
	return isBroken;
}
