/** Headers of calls that one instance passes on to another, on the connections between instances. */

import {calleeHeader, callerHeader} from '../../peers/peer-link/index.js';

/** Marks a call that was passed on, with the time that its caller still waits, in milliseconds. */
export const remainingHeader = 'x-laburnumturn-remaining-ms';
/** Marks an answer of an instance that can't reach targets either. It did nothing with the call. */
export const cutOffHeader = 'x-laburnumturn-cut-off';

/** Marks an answer to a call that was passed on. An instance of an earlier release doesn't know such calls, and refuses them without it. */
export const servedHeader = 'x-laburnumturn-served';

/** Names of all headers between instances, in lower case. They are not sent to targets. */
export const handoverHeaders: readonly string[] = [callerHeader, calleeHeader, remainingHeader, cutOffHeader, servedHeader];
