/**
 * The calls of a listener that are in progress: read, served, passed on to another instance, or with an answer that is not
 * yet written. It does what concerns all of them: looks for silent targets, applies changed routes, and ends them.
 */

import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Clock} from '../../clock/clock/index.js';
import type {CallDeadline} from '../../forwarding/call-deadline/index.js';
import type {CallSession} from '../../forwarding/call-session/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';
import type {RouteId} from '../../identity/ids/index.js';
import type {ConnectionState} from '../../intake/choose-connection-to-close/index.js';
import type {OpenExchange} from '../../requests/answer-client-error/index.js';
import type {Route} from '../../routing/routing-types/index.js';

/** Interval between checks for calls whose target has gone silent, in milliseconds. */
const silenceCheckIntervalMs = 150;
const flushCheckMs = 10;

/** Calls from the arrival of their head until their answer is written or their connection has ended. */
export class CallsInProgress {
	private readonly responses = new Set<ServerResponse>();
	private readonly deadlines = new Set<CallDeadline>();
	private readonly sessions = new Set<CallSession>();
	/** Calls that are being passed on to other instances. */
	private readonly handovers = new Set<AbortController>();
	private isSilenceCheckScheduled = false;

	constructor(private readonly clock: Clock) {}

	get count(): number {
		return this.responses.size;
	}

	/** Counts a call until its answer is written or its connection has ended. */
	add(response: ServerResponse): void {
		this.responses.add(response);
		response.once('close', () => {
			this.responses.delete(response);
		});
	}

	/** Lists the calls on a connection. */
	listExchanges(socket: Socket): ReadonlySet<OpenExchange> {
		const responses = [...this.responses].filter(response => response.req.socket === socket);
		return new Set(responses.map(response => ({message: response.req, response})));
	}

	/** Lists the answers that are not yet written. */
	listResponses(): Iterable<ServerResponse> {
		return this.responses;
	}

	/** Returns the state of each connection with a call. */
	readConnectionStates(): ReadonlyMap<Socket, ConnectionState> {
		const states = new Map<Socket, ConnectionState>();
		for (const {req: {socket, complete}} of this.responses) {
			if (complete || !states.has(socket)) {
				states.set(socket, complete ? 'serving' : 'receiving');
			}
		}

		return states;
	}

	/** Keeps the deadline of a call up to date with its route. */
	followRoute(deadline: CallDeadline, response: ServerResponse): void {
		this.deadlines.add(deadline);
		response.once('close', () => {
			this.deadlines.delete(deadline);
		});
	}

	/** Serves a call; resolves when it has ended. */
	async run(session: CallSession): Promise<void> {
		this.sessions.add(session);
		this.scheduleSilenceCheck();
		try {
			await session.run();
		} finally {
			this.sessions.delete(session);
		}
	}

	/** Returns the controller of a call that is passed on; it aborts when the caller has disconnected or all calls are aborted. Call `endHandover` with it. */
	beginHandover(response: ServerResponse): AbortController {
		const controller = new AbortController();
		this.handovers.add(controller);
		response.once('close', () => {
			controller.abort();
		});
		return controller;
	}

	/** Records that a call is no longer being passed on. */
	endHandover(controller: AbortController): void {
		this.handovers.delete(controller);
	}

	/** Applies changed routes to the calls. Returns how many of them have more time by it. */
	applyRoutes(findRoute: (id: RouteId) => Route | undefined): number {
		let extended = 0;
		for (const deadline of this.deadlines) {
			const route = findRoute(deadline.routeId);
			extended += route !== undefined && deadline.extend(route) ? 1 : 0;
		}

		return extended;
	}

	/** Aborts the calls that are served or passed on. */
	abort(): void {
		for (const session of this.sessions) {
			session.terminate();
		}

		for (const controller of this.handovers) {
			controller.abort();
		}
	}

	/** Resolves when all answers are written, at the latest after `timeoutMs`. */
	async flush(timeoutMs: number): Promise<void> {
		const end = this.clock.readMonotonic() + timeoutMs;
		while (this.count > 0 && this.clock.readMonotonic() < end) {
			await this.clock.sleep(flushCheckMs);
		}
	}

	private scheduleSilenceCheck(): void {
		if (this.isSilenceCheckScheduled) {
			return;
		}

		this.isSilenceCheckScheduled = true;
		setTimeout(() => {
			this.isSilenceCheckScheduled = false;
			void this.checkAttempts();
		}, silenceCheckIntervalMs);
	}

	/** Checks the attempts of all calls by what their targets have sent until now, although this process may have read nothing for a while. */
	private async checkAttempts(): Promise<void> {
		await waitForArrivedData();
		const now = this.clock.readMonotonic();
		for (const session of this.sessions) {
			session.checkAttempts(now);
		}

		if (this.sessions.size > 0) {
			this.scheduleSilenceCheck();
		}
	}
}
