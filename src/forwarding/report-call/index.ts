/** Writes the log line and the metrics of a call that has ended. */

import type {StageTimes} from '../call-times/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';

/** How a call ended. */
export type CallSummary = {
	readonly outcome: string;
	/** Status that the caller got, 0 when the answer broke off or the caller had gone. */
	readonly status: number;
	/** Last attempt; undefined when the call was never sent. */
	readonly attempt: Attempt | undefined;
	readonly attempts: number;
	readonly passedBytes: number;
	readonly times: StageTimes;
};

/** Reports a call. */
export function reportCall(context: ForwardingContext, {call, route, organisation}: SessionOptions, end: CallSummary): void {
	const {outcome, status, attempt, attempts, passedBytes, times} = end;
	context.logger.info('call finished', {
		id: call.id, outcome, status, route: route.id, organisation: organisation?.id,
		target: attempt?.target.description.id, weights: attempt?.weightsVersion, attempts, ...times, passedBytes,
	});
	context.report({
		outcome, status, durationMs: times.durationMs, route: route.id, attempts,
	});
}
