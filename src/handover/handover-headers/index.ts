/** Headers of calls that one instance passes on to another, on the connections between instances. */

import {hopByHopHeaders} from '../../http/hop-by-hop-headers/index.js';
import {calleeHeader, callerHeader} from '../../peers/peer-link/index.js';

/** Marks a call that was passed on, with the time that its caller still waits, in milliseconds. */
export const remainingHeader = 'x-laburnumturn-remaining-ms';
/** Requests of a call that was passed on that may have reached targets before; 0 without it, as from instances of earlier releases. */
export const priorRequestsHeader = 'x-laburnumturn-prior-requests';
/** Marks an answer of an instance that can't reach targets either. It did nothing with the call. */
export const cutOffHeader = 'x-laburnumturn-cut-off';

/** Marks an answer to a call that was passed on. An instance of an earlier release doesn't know such calls, and refuses them without it. */
export const servedHeader = 'x-laburnumturn-served';

/** Names of all headers between instances, in lower case. They are not sent to targets. */
export const handoverHeaders: readonly string[] = [callerHeader, calleeHeader, remainingHeader, priorRequestsHeader, cutOffHeader, servedHeader];

/** Whether a header passes from caller to target or back, and does not concern one connection or the handover; its name is in lower case. */
export function isForwarded(name: string): boolean {
	return !hopByHopHeaders.has(name) && !handoverHeaders.includes(name);
}

/** Keeps the headers whose names in lower case pass; `rawHeaders` alternates names and values. */
export function filterHeaders(rawHeaders: readonly string[], passes: (name: string) => boolean): string[] {
	return rawHeaders.filter((_, index) => passes(rawHeaders[index - (index % 2)]!.toLowerCase()));
}
