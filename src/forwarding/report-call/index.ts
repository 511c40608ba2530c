/** Writes the log line and metrics of a call. */

import type {StageTimes} from '../call-times/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';

/** Result of a call that has ended. */
export type CallSummary = {
	readonly outcome: string;
	/** Status sent to the caller; 0 when the response was interrupted or the caller disconnected. */
	readonly status: number;
	/** Last attempt; undefined when the call was never sent. */
	readonly attempt: Attempt | undefined;
	readonly attempts: number;
	readonly passedBytes: number;
	readonly times: StageTimes;
};

/** Reports a call that has ended. */
export function reportCall(context: ForwardingContext, {call, route, organisation}: SessionOptions, summary: CallSummary): void {
	const {outcome, status, attempt, attempts, passedBytes, times} = summary;
	context.logger.info('call finished', {
		id: call.id, outcome, status, route: route.id, organisation: organisation?.id, resumes: call.resumes, afterEvent: call.lastEventId,
		target: attempt?.target.description.id, software: attempt?.target.description.softwareVersion, weights: attempt?.weightsVersion,
		limit: attempt?.target.limit.read(), attempts, ...times, passedBytes,
	});
	context.report({
		outcome, status, durationMs: times.durationMs, route: route.id, attempts,
	});
}
