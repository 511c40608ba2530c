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
export function reportCall(context: ForwardingContext, session: SessionOptions, summary: CallSummary): void {
	const {call, route, organisation, deadline} = session;
	const {outcome, status, attempt, attempts, passedBytes, times} = summary;
	context.logger.info('call finished', {
		id: call.id, outcome, status, route: route.id, organisation: organisation?.id, resumes: call.resumes, afterEvent: call.lastEventId,
		target: attempt?.target.description.id, software: attempt?.target.description.softwareVersion, weights: attempt?.weightsVersion,
		limit: attempt?.target.limit.read(), attempts, ...times, timeoutMs: deadline.timeoutMs, silentMs: measureSilence(session, summary), passedBytes,
	});
	context.report({
		outcome, status, durationMs: times.durationMs, route: route.id, attempts,
	});
}

/** Measures for how long the last attempt had received nothing when the call ended, in milliseconds; undefined for one that was paused. */
function measureSilence({arrivedAt}: SessionOptions, {attempt, times}: CallSummary): number | undefined {
	if (attempt === undefined || attempt.isPaused) {
		return undefined;
	}

	// The time of the end is rounded and can lie before that of the last data.
	return Math.max(0, Math.round(arrivedAt + times.durationMs - attempt.lastReceivedAt));
}
