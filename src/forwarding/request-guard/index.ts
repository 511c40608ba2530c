/** Interface through which calls ask whether their whole request is quarantined, and report what became of it at a target. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RequestKey} from '../../quarantine/request-key/index.js';

/** Reads the key of a request. Calculating it takes time, so a guard that knows nothing does without. */
export type RequestKeyReader = () => RequestKey;

/** Why a request is rejected, and when its caller may try again. */
export type RequestRejection = {readonly request: RequestKey; readonly remainingMs: number};

/** Keeps requests that crash targets away from them. */
export type RequestGuard = {
	/** Finds a quarantine of the request, or a probation in which it needs a trial. */
	findRejection(readKey: RequestKeyReader, now: MonotonicMs): RequestRejection | undefined;
	/** Asks to send a request on probation to one target; resolves to whether it may be. */
	beginTrial(readKey: RequestKeyReader): Promise<boolean>;
	/** Records that the trial is on its way to a target. */
	recordTrialSent(readKey: RequestKeyReader): void;
	/** Whether the request has crashed so many targets that it is not repeated without being asked. */
	isSuspicious(readKey: RequestKeyReader, now: MonotonicMs): boolean;
	/** Records that the connection broke before the answer to a request was complete. */
	recordBrokenConnection(readKey: RequestKeyReader, target: FleetTarget, sentAt: MonotonicMs, now: MonotonicMs): void;
	/** Records that a request got a complete answer of its target. */
	recordCompleteAnswer(readKey: RequestKeyReader, now: MonotonicMs): void;
};

/** Guard that allows every request. */
export const openRequestGuard: RequestGuard = {
	findRejection: () => undefined,
	beginTrial: async () => false,
	recordTrialSent() {
		// There are no trials.
	},
	isSuspicious: () => false,
	recordBrokenConnection() {
		// Nothing is recorded.
	},
	recordCompleteAnswer() {
		// Nothing is recorded.
	},
};
