/** Receives what the admission queues decide, for metrics. */

import type {AdmissionRefusal} from '../plan-admission/index.js';

/**
 * Why a waiting call was refused. `full`: the bounds of the queues; `target`: pauses and limits of all targets, or no target for a
 * stream that continues; else see `AdmissionRefusal`.
 */
export type RefusalReason = AdmissionRefusal | 'full' | 'target';

/** How a wait ended; `ended`: the caller left, or the call ended for another reason. */
export type WaitOutcome = 'sent' | 'refused' | 'ended';

/** Receives the decisions of all queues of an instance. */
export type AdmissionRecorder = {
	/** Records the end of a wait. */
	recordWait(priority: number, outcome: WaitOutcome, waitMs: number): void;
	/** Records a call that was refused, whether it has waited or not. */
	recordRefusal(priority: number, reason: RefusalReason): void;
	/** Records a call that has arrived and leaves room to more urgent ones at other instances. */
	recordYield(priority: number): void;
};

/** Recorder that drops everything. */
export const idleAdmissionRecorder: AdmissionRecorder = {
	recordWait() {
		// Nothing is kept.
	},
	recordRefusal() {
		// Nothing is kept.
	},
	recordYield() {
		// Nothing is kept.
	},
};
