/** Types of a call in progress. */

import type {FleetTarget, TargetCall} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {RouterError} from '../../results/create-router-error/index.js';
import type {CallerOrganisation, Route, ServiceId} from '../../routing/routing-types/index.js';
import type {AnswerHead, CallerSink, InboundCall} from '../call-types/index.js';
import type {Exchange} from '../target-exchange/index.js';

/** A call that passed the checks of its route and key. */
export type SessionOptions = {
	readonly call: InboundCall;
	readonly body: Buffer | undefined;
	readonly route: Route;
	readonly service: ServiceId;
	readonly organisation: CallerOrganisation | undefined;
	readonly arrivedAt: MonotonicMs;
	readonly sink: CallerSink;
	/** Answers the caller with an error before any answer was begun. */
	readonly refuse: (error: RouterError) => void;
};

/** One sending of the call to a target. */
export type Attempt = {
	readonly target: FleetTarget;
	readonly record: TargetCall;
	readonly weightsVersion: number | undefined;
	exchange: Exchange | undefined;
	head: AnswerHead | undefined;
	lastReceivedAt: MonotonicMs;
};
