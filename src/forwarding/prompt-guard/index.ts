/** Interface through which calls ask whether their prompt is quarantined, and report what became of it at a target. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EngineWork} from '../call-types/index.js';

/** Why a call is rejected, and for how long calls with the part are. */
export type PromptRejection = {readonly part: string; readonly remainingMs: number};

/** Keeps prompts that crash engines away from them. */
export type PromptGuard = {
	/** Finds a quarantine that covers a part of the prompt, or a probation of a part for which the call has no trial. */
	findRejection(work: EngineWork, hasTrial: boolean, now: MonotonicMs): PromptRejection | undefined;
	/** Asks to send a prompt with a part on probation to one engine; resolves to whether it may be. Resolves at once if no part is. */
	beginTrial(work: EngineWork): Promise<boolean>;
	/** Whether a call whose answer was broken off by a crash may crash the next engine as well. */
	isSuspicious(work: EngineWork, now: MonotonicMs): boolean;
	/** Records that the connection broke within the answer to a call that was sent at `sentAt`. */
	recordBrokenAnswer(work: EngineWork, target: FleetTarget, sentAt: MonotonicMs, now: MonotonicMs): void;
	/** Records that the connection broke before the head of the answer to a call that was sent at `sentAt`. */
	recordBrokenConnection(work: EngineWork, target: FleetTarget, sentAt: MonotonicMs, now: MonotonicMs): void;
	/** Records that a call ended with a complete answer. */
	recordCompleteAnswer(work: EngineWork, now: MonotonicMs): void;
};

/** Guard that allows every prompt. */
export const openPromptGuard: PromptGuard = {
	findRejection: () => undefined,
	beginTrial: async () => false,
	isSuspicious: () => false,
	recordBrokenAnswer() {
		// Nothing is recorded.
	},
	recordBrokenConnection() {
		// Nothing is recorded.
	},
	recordCompleteAnswer() {
		// Nothing is recorded.
	},
};
