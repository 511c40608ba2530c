/** Starts an attempt: sends the call to a target and passes what comes back on to the session. */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {buildAttemptOptions} from '../build-attempt-options/index.js';
import type {CallGuard, ExchangeFailure} from '../call-guard/index.js';
import type {ResponseHead} from '../call-types/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {ExchangeStage} from '../http-exchange/index.js';
import type {PrefixHints} from '../prefix-hints/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';

/** What is sent, and where. */
export type AttemptRequest = {
	readonly session: SessionOptions;
	readonly target: FleetTarget;
	readonly hints: PrefixHints;
	readonly guard: CallGuard;
	readonly remainingMs: number;
	readonly lastEventId: string | undefined;
	/** Whether the call may run again; otherwise it gets a new connection. */
	readonly isRepeatable: boolean;
	/** Version that the call's stream is bound to. */
	readonly origin: StreamOrigin;
	/** Targets of the attempts that stay in flight. */
	readonly otherTargets: readonly FleetTarget[];
};

/** Receives what comes back for an attempt. */
export type AttemptListener = {
	/** Carries out `step`, and ends the call if it throws. */
	protect(step: () => void): void;
	onHead(attempt: Attempt, head: ResponseHead): void;
	onChunk(attempt: Attempt, chunk: Buffer): void;
	onEnd(attempt: Attempt): void;
	onFailure(attempt: Attempt, stage: ExchangeStage, error: Error): void;
};

/** Starts an attempt at `now`. No listener is called before it returns. */
export function startAttempt(attemptRequest: AttemptRequest, context: ForwardingContext, listener: AttemptListener, now: MonotonicMs): Attempt {
	const {session, target, hints, guard, remainingMs, lastEventId, isRepeatable} = attemptRequest;
	const {call, route, organisation, body} = session;
	const {protocol, listCacheStores, targetClient, reachability} = context;
	guard.recordSent();
	attemptRequest.origin.recordSent([...attemptRequest.otherTargets, target]);
	context.limits.take(target, now);
	const options = buildAttemptOptions({
		call, route, organisation, target, hints, remainingMs, lastEventId, cacheStores: listCacheStores(),
	});
	const attempt: Attempt = {
		target, weightsVersion: options.weightsVersion, exchange: undefined, head: undefined, answer: undefined,
		lastReceivedAt: now, lastProgressAt: now, isPaused: false,
		record: target.beginCall(hints.estimatePrefillTokens(target, now), now, hints.memoryTokens),
	};
	attempt.exchange = targetClient.start(target, {
		method: call.method, path: call.path, headers: protocol.buildHeaders(call, options), body, shouldUseNewConnection: !isRepeatable,
	}, {
		onConnected() {
			reachability.recordConnected();
		},
		onHead(status, rawHeaders) {
			listener.protect(() => {
				reachability.recordAnswered();
				listener.onHead(attempt, protocol.readHead(call, target.description.id, status, rawHeaders));
			});
		},
		onChunk(chunk) {
			listener.protect(() => {
				listener.onChunk(attempt, chunk);
			});
		},
		onEnd() {
			listener.protect(() => {
				listener.onEnd(attempt);
			});
		},
		onFailure(stage, error) {
			listener.protect(() => {
				recordFailure(attempt, {stage, error}, attemptRequest, context);
				listener.onFailure(attempt, stage, error);
			});
		},
	});
	return attempt;
}

/** Records a failure for what it tells of the paths to targets, and of the call, unless the paths are to blame. */
function recordFailure(attempt: Attempt, failure: ExchangeFailure, {guard, target}: AttemptRequest, {reachability, clock}: ForwardingContext): void {
	const now = clock.readMonotonic();
	if (failure.stage === 'notSent') {
		guard.recordNotSent();
		reachability.recordConnectFailed(target);
	} else if (failure.stage === 'sent') {
		reachability.recordUnanswered(target, now);
	}

	if (reachability.isWitness) {
		guard.recordFailure(attempt, failure, now);
	}
}
