/** Serves single calls: finds the route, checks the key, and forwards the call or passes it on to another instance. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import {addRetryAfterJitter} from '../../forwarding/add-retry-after-jitter/index.js';
import {CallDeadline} from '../../forwarding/call-deadline/index.js';
import {noPriorRequests, type PriorRequests} from '../../forwarding/call-requests/index.js';
import {CallSession} from '../../forwarding/call-session/index.js';
import type {InboundCall} from '../../forwarding/call-types/index.js';
import {drawService} from '../../forwarding/draw-service/index.js';
import type {ForwardingContext} from '../../forwarding/forwarding-context/index.js';
import type {CallHandover} from '../../handover/call-handover/index.js';
import {canRescue} from '../../handover/can-rescue/index.js';
import {
	cutOffHeader, priorRequestsHeader, remainingHeader, servedHeader,
} from '../../handover/handover-headers/index.js';
import {discardRemainingBody} from '../../http/discard-remaining-body/index.js';
import {CallerWatch} from '../../http/watch-caller/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CallerIntake} from '../../intake/caller-intake/index.js';
import {convertToRouterError, createRouterError} from '../../results/create-router-error/index.js';
import {resultCodes} from '../../results/result-codes/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import type {RoutingTable} from '../../routing/routing-table/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {CallerProtocol} from '../caller-protocol/index.js';
import type {CallsInProgress} from '../calls-in-progress/index.js';
import {createCallerSink} from '../create-caller-sink/index.js';
import {logIncompleteAnswer, type CallMoment} from '../log-incomplete-answer/index.js';
import {OutboundHandover, type ReadCall} from '../outbound-handover/index.js';
import {RefusalWriter} from '../refusal-writer/index.js';
import {resolveCall, type ResolvedCall} from '../resolve-call/index.js';

/** Dependencies of calls. */
export type CallHandlerOptions = {
	readonly context: ForwardingContext;
	readonly protocol: CallerProtocol;
	/** Returns the routing table in force; undefined before the first configuration. */
	readonly readTable: () => RoutingTable | undefined;
	/** Without it, calls are never passed on to other instances. */
	readonly handover?: CallHandover | undefined;
	/** Bounds what callers take while they send. */
	readonly intake: CallerIntake;
};

/** When an instance that leaves stops taking all calls, and when it aborts those in progress. */
export type Departure = {readonly acceptsAllUntil: MonotonicMs; readonly endsAt: MonotonicMs};

/** A call on its connection. */
type Arrival = {
	readonly response: ServerResponse;
	readonly caller: CallerWatch;
	readonly arrivedAt: MonotonicMs;
	/** Whether another instance has passed it on. */
	readonly isPassedOn: boolean;
	/** Requests of other instances that may have reached targets. */
	readonly priorRequests: number;
};

/** Time after which callers may return when no instance reaches a target, in seconds. */
const unreachableRetrySeconds = 1;

/** Serves calls. */
export class CallHandler {
	/** Undefined until the instance leaves. Answers then close their connection so that callers reconnect elsewhere. */
	private departure: Departure | undefined;
	private readonly refusals: RefusalWriter;
	private readonly outboundHandover: OutboundHandover;

	constructor(private readonly options: CallHandlerOptions, private readonly calls: CallsInProgress) {
		const {protocol, context, handover} = options;
		this.refusals = new RefusalWriter(protocol, context.logger);
		this.outboundHandover = new OutboundHandover({handover, calls, refusals: this.refusals});
	}

	/** Asks callers to reconnect elsewhere, and from a time on takes no more calls than can be answered before the end. */
	leave(departure: Departure): void {
		this.departure = departure;
	}

	/** Serves the call of a caller. */
	handle(message: IncomingMessage, response: ServerResponse): void {
		void this.serve(message, response, false);
	}

	/** Serves a call that another instance passes on. If this one reaches no target either, it says so and does nothing. */
	handleHandedOver(message: IncomingMessage, response: ServerResponse): void {
		if (this.options.handover?.isCutOff === true) {
			response.writeHead(resultCodes.targetsUnreachable.httpStatus, {[cutOffHeader]: 'true'}).end();
			return;
		}

		response.setHeader(servedHeader, 'true');
		void this.serve(message, response, true);
	}

	private async serve(message: IncomingMessage, response: ServerResponse, isPassedOn: boolean): Promise<void> {
		const arrival = this.readMoment();
		if (this.departure !== undefined) {
			response.shouldKeepAlive = false;
		}

		const caller = new CallerWatch(response);
		const priorRequests = isPassedOn ? readPriorRequests(message) : 0;
		let call: InboundCall | undefined;
		const bodyReader = this.options.intake.openBody(message);
		this.calls.add(response);
		response.once('close', () => {
			bodyReader.release();
			if (!response.writableFinished) {
				logIncompleteAnswer({
					id: call?.id, response, arrival, end: this.readMoment(),
				}, this.options.context.logger);
			}
		});

		try {
			call = this.options.protocol.readCall(message);
			if (isPassedOn) {
				call = {...call, waitMs: readRemainingMs(message) ?? call.waitMs};
			}

			const resolvedCall = resolveCall(call, this.options.readTable());
			const body = await bodyReader.read(resolvedCall.table.configuration.limits.maximumBodyBytes);
			await this.dispatch(this.updateResolvedCall(resolvedCall), body, {
				response, caller, arrivedAt: arrival.at, isPassedOn, priorRequests,
			});
		} catch (error) {
			if (priorRequests > 0 && !response.headersSent) {
				// The instance that passed the call on asks the next one, and knows whether a target may have run the call.
				response.removeHeader(servedHeader);
			}

			this.refusals.refuse(response, convertToRouterError(error), call);
			discardRemainingBody(message, bodyReader.limitBytes);
		}
	}

	/** Resolves a call again if the configuration has changed, as it can while the body arrives. */
	private updateResolvedCall(resolvedCall: ResolvedCall): ResolvedCall {
		const table = this.options.readTable();
		return table === resolvedCall.table ? resolvedCall : resolveCall(resolvedCall.call, table);
	}

	/** Forwards a call that was read as a whole to a target, or passes it on to another instance. */
	private async dispatch(resolvedCall: ResolvedCall, body: Buffer, arrival: Arrival): Promise<void> {
		const {call, route} = resolvedCall;
		const {response, arrivedAt, isPassedOn} = arrival;
		const {context, handover} = this.options;
		const deadline = new CallDeadline({call, route, arrivedAt}, context.clock);
		this.calls.followRoute(deadline, response);
		const service = drawService(route, call, context.draw);
		if (service === undefined) {
			throw createRouterError('noTarget', 'the route has no service with a positive weight');
		}

		const isConnected = await arrival.caller.confirm();
		if (this.mustReject(deadline.read(), arrivedAt)) {
			throw createRouterError('stopping', 'the call could outlast the instance', {retryAfterSeconds: 0});
		}

		const readCall = {
			resolvedCall, deadline, body: body.length === 0 ? undefined : body, response,
		};
		if (isConnected && !isPassedOn && handover?.shouldHandOver(isRepeatable(route), arrivedAt) === true) {
			const retryAfterSeconds = addRetryAfterJitter(unreachableRetrySeconds, context.draw());
			await this.outboundHandover.handOver(readCall, {error: createRouterError('targetsUnreachable', undefined, {retryAfterSeconds}), requests: 0});
			return;
		}

		const session = this.createSession(readCall, service, arrival);
		if (isConnected) {
			await this.calls.run(session);
		} else {
			session.abandon();
		}
	}

	/** Creates the session of a call, which ends when its caller disconnects. */
	private createSession(readCall: ReadCall, service: ServiceId, {arrivedAt, isPassedOn, priorRequests}: Arrival): CallSession {
		const {resolvedCall: {call, route, organisation}, deadline, body, response} = readCall;
		const session = new CallSession({
			call, route, service, organisation, arrivedAt, deadline, body,
			sink: createCallerSink(response),
			prior: this.chargePassedOnCall(priorRequests, service, this.options.context.clock.readMonotonic()),
			refuse: (error, requests) => {
				if (!isPassedOn && canRescue(error, route)) {
					this.outboundHandover.rescue(readCall, {error, requests});
				} else {
					this.refusals.refuse(response, error, call);
				}
			},
		}, this.options.context);
		response.once('close', () => {
			if (!response.writableFinished) {
				session.abandon();
			}
		});
		return session;
	}

	/** Takes a retry for the first request of this instance, if other instances may have sent requests of the call before. */
	private chargePassedOnCall(priorRequests: number, service: ServiceId, now: MonotonicMs): PriorRequests {
		if (priorRequests === 0) {
			return noPriorRequests;
		}

		if (!this.options.context.findRetryBudget(service).take(now)) {
			throw createRouterError('overloaded', 'no retry is left for a call that was passed on');
		}

		return {count: priorRequests, reservedRetries: 1};
	}

	private readMoment(): CallMoment {
		const {context: {clock}, readTable} = this.options;
		return {at: clock.readMonotonic(), revision: readTable()?.configuration.revision};
	}

	/** Whether a call that arrived at `arrivedAt` could outlast this instance, although its caller had time to learn of other ones. */
	private mustReject(deadline: MonotonicMs, arrivedAt: MonotonicMs): boolean {
		return this.departure !== undefined && arrivedAt > this.departure.acceptsAllUntil && deadline > this.departure.endsAt;
	}
}

/** Reads how long the caller of a call that was passed on still waits, in milliseconds; undefined if that is not stated. */
function readRemainingMs(message: IncomingMessage): number | undefined {
	const value = Number(message.headers[remainingHeader]);
	return value >= 0 ? value : undefined;
}

/** Reads how many requests of a call that was passed on may have reached targets. An instance of an earlier release doesn't say so. */
function readPriorRequests(message: IncomingMessage): number {
	const value = Number(message.headers[priorRequestsHeader]);
	return Number.isSafeInteger(value) && value > 0 ? value : 0;
}
