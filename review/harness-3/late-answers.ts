/** Checks the rule CONFIG for calls that are unanswered at the timeout of their route. */

import type {CaseRecord} from './record.js';
import type {SteadyCall} from './steady-callers.js';

/** Time after the timeout of the route at which an answer is due, in milliseconds. */
const graceMs = 500;
/** Number of unanswered calls from which the rule counts. */
const minimumCalls = 8;
const allowedShare = 0.5;

/** Returns whether the rule is broken: of the calls that are unanswered at `timeoutMs`, more than half have no answer half a second later. */
export function checkTimeouts(calls: readonly SteadyCall[], timeoutMs: number, record: CaseRecord): boolean {
	const unanswered = calls.filter(({ms}) => ms > timeoutMs);
	const late = unanswered.filter(({ms, status}) => ms > timeoutMs + graceMs || status === 0);
	for (const {id, address, ms} of late) {
		record.write(`late: ${id} at ${address}, ${ms} ms`);
	}

	const isBroken = unanswered.length >= minimumCalls && late.length > unanswered.length * allowedShare;
	record.conclude(`CONFIG ${isBroken ? 'broken' : 'held'}: ${unanswered.length} calls had no answer at ${timeoutMs} ms, ${late.length} of them none at ${timeoutMs + graceMs} ms`);
	return isBroken;
}
