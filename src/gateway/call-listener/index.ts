/** HTTP/1.1 server for callers: finds the route, checks the key, forwards the call and returns the answer. */

import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo, Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import {canRescue} from '../../handover/can-rescue/index.js';
import type {CallHandover, HandoverOutcome} from '../../handover/call-handover/index.js';
import {cutOffHeader, remainingHeader, servedHeader} from '../../handover/handover-headers/index.js';
import {abortResponse} from '../../http/abort-response/index.js';
import {discardRemainingBody} from '../../http/discard-remaining-body/index.js';
import {IdleConnections} from '../../http/idle-connections/index.js';
import {parseAddress} from '../../http/parse-address/index.js';
import {readBody} from '../../http/read-body/index.js';
import {stopListening} from '../../http/stop-listening/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';
import {CallerWatch} from '../../http/watch-caller/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {CallDeadline} from '../../forwarding/call-deadline/index.js';
import type {InboundCall} from '../../forwarding/call-types/index.js';
import {CallSession} from '../../forwarding/call-session/index.js';
import {addRetryAfterJitter} from '../../forwarding/add-retry-after-jitter/index.js';
import {drawService} from '../../forwarding/draw-service/index.js';
import type {ForwardingContext} from '../../forwarding/forwarding-context/index.js';
import {
	convertToRouterError, createRouterError, formatErrorBody, type RouterError,
} from '../../results/create-router-error/index.js';
import {resultCodes} from '../../results/result-codes/index.js';
import {answerClientError} from '../../requests/answer-client-error/index.js';
import {isRepeatable} from '../../routing/is-repeatable/index.js';
import type {RoutingTable} from '../../routing/routing-table/index.js';
import {CallsInProgress} from '../calls-in-progress/index.js';
import {createCallerSink} from '../create-caller-sink/index.js';
import {resolveCall, type ResolvedCall} from '../resolve-call/index.js';
import {logIncompleteAnswer, type CallMoment} from '../log-incomplete-answer/index.js';

/** Converts between the HTTP messages of callers and the types of the forwarding core. */
export type CallerProtocol = {
	/** Parses the head of a call; throws a `RouterError` if it is invalid. */
	readCall(message: IncomingMessage): InboundCall;
	/** Returns the header names and values of an error answer, alternating. */
	buildErrorHeaders(error: RouterError, call: InboundCall | undefined): string[];
};

/** Options of the call listener. */
export type CallListenerOptions = {
	readonly context: ForwardingContext;
	readonly protocol: CallerProtocol;
	/** Returns the routing table in force; undefined before the first configuration. */
	readonly readTable: () => RoutingTable | undefined;
	/** Without it, calls are never passed on to other instances. */
	readonly handover?: CallHandover | undefined;
};

/** A call on its connection. `isPassedOn`: whether another instance has passed it on. */
type Arrival = {
	readonly message: IncomingMessage;
	readonly response: ServerResponse;
	readonly caller: CallerWatch;
	readonly arrivedAt: MonotonicMs;
	readonly isPassedOn: boolean;
};

/** When an instance that leaves stops taking all calls, and when it aborts those in progress. */
export type Departure = {readonly acceptsAllUntil: MonotonicMs; readonly endsAt: MonotonicMs};

type PassedOnCall = {readonly resolvedCall: ResolvedCall; readonly deadline: CallDeadline; readonly body: Buffer; readonly arrival: Arrival};

/** Maximum number of connections that wait to be accepted; a burst above it is delayed by seconds. */
const connectionBacklog = 4096;
const maximumHeaderBytes = 16_384;
/** Code of the error of a connection whose request has not arrived in time. */
const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';
/** Interval between checks for requests that exceed the header or request timeout, in milliseconds. */
const connectionCheckIntervalMs = 1000;
/** Maximum time for a complete request to arrive, in milliseconds. */
const requestTimeoutMs = 30_000;
/** Time after which callers may return when no instance reaches a target, in seconds. */
const unreachableRetrySeconds = 1;

/** HTTP server for callers. */
export class CallListener {
	private readonly server: Server;
	/** Undefined until the instance leaves. Answers then close their connection so that callers reconnect elsewhere. */
	private departure: Departure | undefined;
	private readonly calls: CallsInProgress;
	private readonly idleConnections: IdleConnections;

	constructor(private readonly options: CallListenerOptions) {
		this.calls = new CallsInProgress(options.context.clock);
		this.server = createServer({
			maxHeaderSize: maximumHeaderBytes, connectionsCheckingInterval: connectionCheckIntervalMs, requestTimeout: requestTimeoutMs, noDelay: true,
		}, (message, response) => {
			this.idleConnections.follow(response);
			void this.serve(message, response, false);
		});
		// A caller that ends its sending side still gets its answer; see `CallerWatch`.
		Object.assign(this.server, {httpAllowHalfOpen: true});
		this.server.on('clientError', (error, socket) => {
			void this.handleClientError(error, socket as Socket);
		});
		this.idleConnections = new IdleConnections(this.server, options.context.clock);
	}

	/** Calls that are read, served or passed on, or whose answers are not yet written as a whole. */
	get callsInProgress(): number {
		return this.calls.count;
	}

	/** Starts listening; returns `host:port`. */
	async listen(address: string): Promise<string> {
		const {host, port} = parseAddress(address);
		this.server.listen(port, host, connectionBacklog);
		await once(this.server, 'listening');
		return `${host}:${(this.server.address() as AddressInfo).port}`;
	}

	/** Applies a new configuration to connections and to the calls in progress. */
	applyConfiguration(table: RoutingTable): void {
		const {limits, revision} = table.configuration;
		this.idleConnections.setLimit(limits.idleTimeoutMs);
		this.server.headersTimeout = limits.headerTimeoutMs;
		const extended = this.calls.applyRoutes(id => table.findRouteById(id));
		if (extended > 0) {
			this.options.context.logger.info('deadlines of calls in progress extended', {revision, calls: extended});
		}
	}

	/** Asks callers to reconnect elsewhere, and from a time on takes no more calls than can be answered before the end. */
	leave(departure: Departure): void {
		this.departure = departure;
	}

	/** Refuses all calls from now on, because the process ends before any of them could be answered. */
	refuseCalls(): void {
		this.departure = {acceptsAllUntil: -Infinity as MonotonicMs, endsAt: -Infinity as MonotonicMs};
	}

	/** Accepts the connections that wait, then closes the listener and the idle connections. */
	async close(): Promise<void> {
		await stopListening(this.server);
		this.server.closeIdleConnections();
	}

	/** Destroys all connections at once, as the end of the process does. */
	destroyConnections(): void {
		this.server.closeAllConnections();
	}

	/** Aborts all calls in progress. */
	abortCalls(): void {
		this.calls.abort();
	}

	/** Resolves when all answers are written, at the latest after `timeoutMs`. */
	async flushAnswers(timeoutMs: number): Promise<void> {
		await this.calls.flush(timeoutMs);
	}

	/** Serves a call that another instance passes on. If this one reaches no target either, it says so and does nothing. */
	serveHandedOver(message: IncomingMessage, response: ServerResponse): void {
		if (this.options.handover?.isCutOff === true) {
			response.writeHead(resultCodes.targetsUnreachable.httpStatus, {[cutOffHeader]: 'true'}).end();
			return;
		}

		response.setHeader(servedHeader, 'true');
		void this.serve(message, response, true);
	}

	private async serve(message: IncomingMessage, response: ServerResponse, isPassedOn: boolean): Promise<void> {
		const arrival = this.readMoment();
		const {at: arrivedAt} = arrival;
		if (this.departure !== undefined) {
			response.shouldKeepAlive = false;
		}

		const caller = new CallerWatch(response);
		let call: InboundCall | undefined;
		this.calls.add(response);
		response.once('close', () => {
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
			const body = await readBody(message, resolvedCall.table.configuration.limits.maximumBodyBytes);
			await this.forward(this.updateResolvedCall(resolvedCall), body, {
				message, response, caller, arrivedAt, isPassedOn,
			});
		} catch (error) {
			this.refuse(response, convertToRouterError(error), call);
			discardRemainingBody(message);
		}
	}

	/** Resolves a call again if the configuration has changed, as it can while the body arrives. */
	private updateResolvedCall(resolvedCall: ResolvedCall): ResolvedCall {
		const table = this.options.readTable();
		return table === resolvedCall.table ? resolvedCall : resolveCall(resolvedCall.call, table);
	}

	/** Answers what is no valid request, unless a call on the connection is still to be answered, or the rest of its head waits unread. */
	private async handleClientError(error: NodeJS.ErrnoException, socket: Socket): Promise<void> {
		const {bytesRead, bytesWritten} = socket;
		if (error.code === requestTimeoutCode) {
			await waitForArrivedData();
			if (socket.bytesRead > bytesRead) {
				await delay(this.server.headersTimeout);
			}

			if (socket.bytesWritten > bytesWritten) {
				return;
			}
		}

		this.options.context.logger.info('connection without a valid request', {code: error.code, reason: error.message, readBytes: socket.bytesRead});
		answerClientError(error, socket, this.calls.listExchanges(socket));
	}

	private readMoment(): CallMoment {
		const {context: {clock}, readTable} = this.options;
		return {at: clock.readMonotonic(), revision: readTable()?.configuration.revision};
	}

	private async forward(resolvedCall: ResolvedCall, body: Buffer, arrival: Arrival): Promise<void> {
		const {call, route, organisation} = resolvedCall;
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

		const passOn = {
			resolvedCall, deadline, body, arrival,
		};
		if (isConnected && !isPassedOn && handover?.shouldHandOver(isRepeatable(route), arrivedAt) === true) {
			const retryAfterSeconds = addRetryAfterJitter(unreachableRetrySeconds, context.draw());
			await this.handOver(passOn, createRouterError('targetsUnreachable', undefined, {retryAfterSeconds}));
			return;
		}

		const session = new CallSession({
			call, route, service, organisation, arrivedAt, deadline,
			body: body.length === 0 ? undefined : body,
			sink: createCallerSink(response),
			refuse: error => {
				if (!isPassedOn && canRescue(error, route)) {
					this.rescue(passOn, error);
				} else {
					this.refuse(response, error, call);
				}
			},
		}, context);
		response.once('close', () => {
			if (!response.writableFinished) {
				session.abandon();
			}
		});
		if (!isConnected) {
			session.abandon();
			return;
		}

		await this.calls.run(session);
	}

	/** Whether a call that arrived at `arrivedAt` could outlast this instance, although its caller had time to learn of other ones. */
	private mustReject(deadline: MonotonicMs, arrivedAt: MonotonicMs): boolean {
		return this.departure !== undefined && arrivedAt > this.departure.acceptsAllUntil && deadline > this.departure.endsAt;
	}

	/** Passes a call that ended with `error` on to another instance; the call is answered whatever comes of it. */
	private rescue(passOn: PassedOnCall, error: RouterError): void {
		this.handOver(passOn, error).catch((error_: unknown) => {
			this.refuse(passOn.arrival.response, convertToRouterError(error_), passOn.resolvedCall.call);
		});
	}

	/** Passes a call on to another instance if this one reaches no target; ends it with `error` if it does, or if no other takes it. */
	private async handOver({resolvedCall: {call, route}, deadline, body, arrival: {message, response}}: PassedOnCall, error: RouterError): Promise<void> {
		const {handover} = this.options;
		const controller = this.calls.beginHandover(response);
		let outcome: HandoverOutcome = 'notRun';
		try {
			if (await handover?.shouldRescue() === true) {
				outcome = await handover!.handOver({
					call, rawHeaders: message.rawHeaders, body: body.length === 0 ? undefined : body, isRepeatable: isRepeatable(route),
					deadline, sink: createCallerSink(response), signal: controller.signal,
				});
			}
		} finally {
			this.calls.endHandover(controller);
		}

		switch (outcome) {
			case 'answered': {
				break;
			}

			case 'notRun': {
				this.refuse(response, error, call);
				break;
			}

			case 'unknown': {
				this.refuse(response, createRouterError('outcomeUnknown', 'the instance that took the call over sent no answer'), call);
				break;
			}

			case 'expired': {
				this.refuse(response, createRouterError('targetTimeout', 'the instance that took the call over sent no answer in time'), call);
				break;
			}
		}
	}

	private refuse(response: ServerResponse, error: RouterError, call: InboundCall | undefined): void {
		const {logger} = this.options.context;
		logger.info('call refused', {
			id: call?.id, code: error.entry.code, name: error.entry.name, status: error.entry.httpStatus, retryAfter: error.retryAfterSeconds, path: call?.path,
		});
		if (error.entry.name === 'internalError') {
			logger.error('internal error', {id: call?.id, reason: error.cause?.stack ?? error.message});
		}

		if (response.headersSent || response.destroyed) {
			abortResponse(response);
			return;
		}

		const body = JSON.stringify(formatErrorBody(error));
		response.writeHead(error.entry.httpStatus, [
			...this.options.protocol.buildErrorHeaders(error, call),
			'content-type',
			'application/json',
			'content-length',
			String(Buffer.byteLength(body)),
		]);
		response.end(body);
	}
}

/** Reads how long the caller of a call that was passed on still waits, in milliseconds; undefined if that is not stated. */
function readRemainingMs(message: IncomingMessage): number | undefined {
	const value = Number(message.headers[remainingHeader]);
	return value >= 0 ? value : undefined;
}
