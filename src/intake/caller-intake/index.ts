/**
 * What callers may take of this process while they send: memory for bodies, and connections. Checks at
 * intervals for bodies that stand still, answers that are not read, and connections that are quiet.
 */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Clock} from '../../clock/clock/index.js';
import {abortResponse} from '../../http/abort-response/index.js';
import {waitForArrivedData} from '../../http/wait-for-arrived-data/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {BodyBudget, type BodyLimits} from '../body-budget/index.js';
import {BodyReader} from '../body-reader/index.js';
import type {ConnectionLimit} from '../connection-limit/index.js';
import {UnreadAnswers} from '../unread-answers/index.js';

/** Dependencies of an intake. */
export type CallerIntakeOptions = {
	readonly clock: Pick<Clock, 'readMonotonic'>;
	/** Without it, refusals are not logged. */
	readonly logger?: EventLogger;
	/** Returns the limits in force. */
	readonly readLimits: () => BodyLimits;
};

/** Interval of the checks while there is something to check, in milliseconds. */
const checkIntervalMs = 250;
/** Shortest time between two log lines of refusals, in milliseconds. */
const logIntervalMs = 1000;

/** Bounds what callers take. */
export class CallerIntake {
	/** Memory for bodies. */
	readonly budget: BodyBudget;
	private readonly connectionLimits: ConnectionLimit[] = [];
	private readonly answers: UnreadAnswers[] = [];
	/** Answers broken off since the start because their callers did not read them. */
	private abortedAnswers = 0;
	private isCheckScheduled = false;
	private loggedAt = -Infinity as MonotonicMs;
	private loggedRefusals = 0;

	constructor(private readonly options: CallerIntakeOptions) {
		this.budget = new BodyBudget(options.readLimits);
	}

	/** Gauges of the bodies, by name. */
	get bodyGauges() {
		const {budget} = this;
		return {
			body_bytes_held: {help: 'Memory that bodies of calls in progress take.', read: () => budget.heldBytes},
			unread_answer_bytes: {help: 'Memory that answers take which their callers have not read.', read: () => budget.unreadBytes},
			unread_answers_aborted: {help: 'Answers broken off because their callers did not read them.', read: () => this.abortedAnswers},
			bodies_refused_for_memory: {help: 'Bodies refused because there was no memory for them.', read: () => budget.refusals.memory},
			bodies_refused_as_stalled: {help: 'Bodies refused because they stood still.', read: () => budget.refusals.stalled},
			bodies_refused_as_too_large: {help: 'Bodies refused because they exceed the limit of a body.', read: () => budget.refusals.tooLarge},
		};
	}

	/** Gauges of bodies and connections, by name. */
	get gauges() {
		return {
			...this.bodyGauges,
			caller_connections: {help: 'Open connections of callers, where they are limited.', read: () => this.sumConnections(limit => limit.count)},
			connections_closed_for_others: {help: 'Quiet connections closed in favour of new ones.', read: () => this.sumConnections(({counts}) => counts.closed)},
			connections_refused: {help: 'Connections refused above the limit.', read: () => this.sumConnections(({counts}) => counts.refused)},
		};
	}

	/** Begins to count the body of a call. */
	openBody(message: IncomingMessage): BodyReader {
		this.scheduleCheck();
		return new BodyReader(message, this.budget, this.options.clock);
	}

	/** Counts the answers of a listener that their callers have not read. */
	addAnswers(listResponses: () => Iterable<ServerResponse>): void {
		this.answers.push(new UnreadAnswers(listResponses));
	}

	/** Observes the connections of a listener while many are open. Call `scheduleCheck` for each new one. */
	addConnectionLimit(limit: ConnectionLimit): void {
		this.connectionLimits.push(limit);
	}

	/** Schedules the next check, unless one is scheduled. */
	scheduleCheck(): void {
		if (this.isCheckScheduled) {
			return;
		}

		this.isCheckScheduled = true;
		setTimeout(() => {
			void this.check();
		}, checkIntervalMs).unref();
	}

	/** Judges bodies and connections by what their callers have sent until now, although this process may have read nothing for a while. */
	private async check(): Promise<void> {
		await waitForArrivedData();
		this.isCheckScheduled = false;
		const now = this.options.clock.readMonotonic();
		this.checkAnswers(now);
		this.budget.refuseStalled(now);
		const observedLimits = this.connectionLimits.filter(({isObserving}) => isObserving);
		for (const limit of observedLimits) {
			limit.observe(now);
		}

		this.logRefusals(now);
		if (this.budget.count > 0 || observedLimits.length > 0) {
			this.scheduleCheck();
		}
	}

	/** Breaks off answers that their callers do not read while the memory is short. */
	private checkAnswers(now: MonotonicMs): void {
		const {budget} = this;
		for (const answers of this.answers) {
			answers.observe(now);
		}

		budget.unreadBytes = this.sumUnreadBytes();
		for (const answers of this.answers) {
			for (let response = answers.chooseToAbort(now); response !== undefined && budget.isExceeded; response = answers.chooseToAbort(now)) {
				answers.remove(response);
				abortResponse(response);
				this.abortedAnswers += 1;
				budget.unreadBytes = this.sumUnreadBytes();
			}
		}
	}

	private sumUnreadBytes(): number {
		return this.answers.reduce((sum, {heldBytes}) => sum + heldBytes, 0);
	}

	private logRefusals(now: MonotonicMs): void {
		const {budget: {refusals, heldBytes, count}, options} = this;
		const connectionsClosed = this.sumConnections(({counts}) => counts.closed);
		const connectionsRefused = this.sumConnections(({counts}) => counts.refused);
		const sum = refusals.memory + refusals.stalled + refusals.tooLarge + connectionsClosed + connectionsRefused + this.abortedAnswers;
		if (sum === this.loggedRefusals || now - this.loggedAt < logIntervalMs) {
			return;
		}

		this.loggedAt = now;
		this.loggedRefusals = sum;
		options.logger?.warn('callers limited', {
			...refusals, connectionsClosed, connectionsRefused, answersAborted: this.abortedAnswers,
			unreadBytes: this.budget.unreadBytes, heldBytes, bodies: count, limitBytes: options.readLimits().heldBytes,
		});
	}

	private sumConnections(read: (limit: ConnectionLimit) => number): number {
		return this.connectionLimits.reduce((sum, limit) => sum + read(limit), 0);
	}
}
