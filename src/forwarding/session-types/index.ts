/** Types of a call in progress. */

import type {FleetTarget, TargetCall} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';
import type {CallerOrganisation, Route, ServiceId} from '../../routing/routing-types/index.js';
import type {AttemptAnswer} from '../attempt-answer/index.js';
import type {CallDeadline} from '../call-deadline/index.js';
import type {PriorRequests} from '../call-requests/index.js';
import type {ResponseHead, CallerSink, InboundCall} from '../call-types/index.js';
import type {Exchange} from '../http-exchange/index.js';

/** A call whose route was found and whose key was accepted. */
export type SessionOptions = {
	readonly call: InboundCall;
	readonly body: Buffer | undefined;
	readonly route: Route;
	readonly service: ServiceId;
	readonly organisation: CallerOrganisation | undefined;
	readonly arrivedAt: MonotonicMs;
	readonly deadline: CallDeadline;
	readonly sink: CallerSink;
	readonly prior: PriorRequests;
	/** Responds with an error; only for a call whose response has not begun. `requests`: how many may have reached targets. */
	readonly refuse: (error: RouterError, requests: number) => void;
};

/** An attempt to run the call at one target. */
export type Attempt = {
	readonly target: FleetTarget;
	readonly record: TargetCall;
	readonly weightsVersion: number | undefined;
	exchange: Exchange | undefined;
	head: ResponseHead | undefined;
	/** What has come of its answer; undefined before its head, and for a head that is no answer to the call. */
	answer: AttemptAnswer | undefined;
	/** When response data was last received; until then, when the call was sent. */
	lastReceivedAt: MonotonicMs;
	/** When response data last brought the response closer to its end. In a resumable stream, only complete events do. */
	lastProgressAt: MonotonicMs;
	/** Whether the target is paused until the caller has read what was passed on. */
	isPaused: boolean;
};
