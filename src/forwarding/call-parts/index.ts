/** What the modules that serve one call share. */

import type {CallAttempts} from '../call-attempts/index.js';
import type {CallGuard} from '../call-guard/index.js';
import type {CallRequests} from '../call-requests/index.js';
import type {CallTimes} from '../call-times/index.js';
import type {ResponseRelay} from '../response-relay/index.js';
import type {TargetSelection} from '../select-target/index.js';
import type {SessionOptions} from '../session-types/index.js';

/** The parts of one call. */
export type CallParts = {
	readonly session: SessionOptions;
	readonly selection: TargetSelection;
	readonly attempts: CallAttempts;
	readonly requests: CallRequests;
	readonly relay: ResponseRelay;
	readonly guard: CallGuard;
	readonly times: CallTimes;
};
