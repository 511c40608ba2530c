/**
 * The calls of one service that wait for a target at this instance.
 *
 * Room goes to the call that ranks first: by priority, fairly over organisations, and by whether it can still be answered within its
 * latency goal. While calls wait, one task serves the queue after each change of the fleet, after each end of a call at a target,
 * and at intervals, since the work of other instances ends unseen.
 */

import type {Clock} from '../../clock/clock/index.js';
import {Wakeup} from '../../clock/wakeup/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {createRouterError} from '../../results/create-router-error/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {AnswerPace} from '../answer-pace/index.js';
import type {AdmissionRecorder, RefusalReason} from '../admission-recorder/index.js';
import {chooseEvicted} from '../choose-evicted/index.js';
import {CongestionLog} from '../congestion-log/index.js';
import {coversNeeds, coversTargets} from '../covers-needs/index.js';
import {FailedNeeds} from '../failed-needs/index.js';
import {isHeld} from '../is-held/index.js';
import {planAdmission} from '../plan-admission/index.js';
import {planReturn} from '../plan-return/index.js';
import type {QueueBounds} from '../queue-bounds/index.js';
import type {
	CallRank, QueuedCall, QueueEntry,
} from '../queued-call/index.js';
import type {SharedBacklog, WaitingEntry} from '../shared-backlog/index.js';
import {ServiceDemand} from '../service-demand/index.js';
import {summariseWaiting} from '../summarise-waiting/index.js';
import {WaitingLevels} from '../waiting-levels/index.js';

/** Dependencies of a queue. */
export type AdmissionQueueOptions = {
	readonly service: ServiceId;
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly fleet: Pick<TargetFleet, 'subscribe' | 'listServing'>;
	readonly bounds: QueueBounds;
	readonly recorder: AdmissionRecorder;
	/** What waits at other instances. */
	readonly backlog: Pick<SharedBacklog, 'hasMoreUrgent'>;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly draw: () => number;
};

/** A call that has not joined the queue yet. */
export type ArrivingCall = CallRank & Pick<QueuedCall, 'needs' | 'latencyGoalMs'>;

/** How a call left the queue. */
export type LeaveReason = 'sent' | 'ended';

/** Interval at which a waiting call may find room that the work of other instances has left, in milliseconds; shorter than that of load reports. */
const checkIntervalMs = 60;
/** Calls without room that one pass tries; bounds its work if no two calls have the same needs. */
const maximumFailedTries = 8;
/** The same while a target states a limit, since each call asks for a permit of its own. */
const maximumPermitTries = 64;
/** Longest time for which a call leaves room to more urgent ones at other instances, in milliseconds. */
const longestYieldMs = 250;
/** The same as a fraction of the latency goal of the call; the shorter time counts. */
const yieldFraction = 0.25;

/** Queue of one service. */
export class AdmissionQueue {
	/** How fast the targets answer. */
	readonly pace: AnswerPace;
	private readonly entries = new Map<QueuedCall, QueueEntry>();
	private readonly levels = new WaitingLevels();
	private readonly demand = new ServiceDemand();
	private readonly wakeup = new Wakeup();
	private readonly congestionLog: CongestionLog;
	/** Never aborts: the task ends when no call waits. */
	private readonly signal = new AbortController().signal;
	private isRunning = false;

	constructor(private readonly options: AdmissionQueueOptions) {
		this.congestionLog = new CongestionLog(options.service, options.logger);
		this.pace = new AnswerPace(() => options.bounds.goalFraction);
	}

	/** Number of waiting calls. */
	get length(): number {
		return this.entries.size;
	}

	/** Counts the waiting calls by priority. */
	countByPriority(): Map<number, number> {
		return this.levels.countByPriority();
	}

	/** Summarises the waiting calls for other instances. */
	summariseWaiting(): WaitingEntry[] {
		return summariseWaiting(this.options.service, this.entries.keys());
	}

	/** Records a call that has arrived, whether it waits or not. */
	recordArrival({priority, costTokens}: CallRank, now: MonotonicMs): void {
		this.demand.recordArrival(priority, costTokens, now);
	}

	/** Records that a call was sent to a target, whether it has waited or not. */
	recordSent(call: CallRank, now: MonotonicMs): void {
		this.demand.recordSent(call.costTokens, now);
		for (const entry of this.entries.values()) {
			if (entry.call.priority <= call.priority && entry.call.since < call.since) {
				entry.passedTokens += call.costTokens;
			}
		}
	}

	/**
	 * Whether a call that has just arrived has to wait, because calls of the same or a higher rank wait here for room that it would
	 * take, or more urgent ones at other instances.
	 */
	shouldJoin(call: ArrivingCall, now: MonotonicMs): boolean {
		if (this.shouldYield(call, now)) {
			this.options.recorder.recordYield(call.priority);
			return true;
		}

		return [...this.entries.values()].some(entry => entry.call.priority <= call.priority && entry.call.earliestAt <= now
			&& (isHeld(entry, now) ? coversTargets : coversNeeds)(entry.call.needs, call.needs));
	}

	/** Adds a call, or refuses it at once. */
	join(call: QueuedCall, now: MonotonicMs): void {
		if (!this.ensureRoom(call, now)) {
			this.options.recorder.recordRefusal(call.priority, 'full');
			this.refuse(call, 'full', now);
			return;
		}

		const entry: QueueEntry = {
			call, joinedAt: now, checkAt: now, passedTokens: 0, heldUntil: undefined,
		};
		this.entries.set(call, entry);
		this.levels.add(entry);
		this.options.bounds.add(call.bytes);
		this.demand.recordWaiting(now);
		this.congestionLog.recordJoin(now);
		if (this.planWait(entry, now)) {
			this.start();
			this.wake();
		}
	}

	/** Removes a call that was sent, or that has ended. */
	leave(call: QueuedCall, reason: LeaveReason, now: MonotonicMs): void {
		const entry = this.entries.get(call);
		if (entry !== undefined) {
			this.remove(entry, now);
			this.options.recorder.recordWait(call.priority, reason, now - entry.joinedAt);
		}
	}

	/** Serves the queue soon, because room may have appeared. */
	wake(): void {
		if (this.entries.size > 0) {
			this.wakeup.notify();
		}
	}

	/** Starts the task that serves the queue until no call waits. */
	private start(): void {
		if (!this.isRunning) {
			this.isRunning = true;
			void this.run();
		}
	}

	private async run(): Promise<void> {
		const {clock, fleet, logger, service} = this.options;
		const unsubscribe = fleet.subscribe(() => {
			this.wake();
		});
		while (this.entries.size > 0) {
			await this.wakeup.wait(clock, this.calculateSleepMs(clock.readMonotonic()), this.signal);
			try {
				this.serve(clock.readMonotonic());
			} catch (error) {
				logger.error('admission queue failed', {service, error: String(error)});
				// A fault that recurs must neither fill the log nor use up the processor.
				await clock.sleep(checkIntervalMs);
			}
		}

		unsubscribe();
		this.isRunning = false;
	}

	/** Sends the calls for which there is room in the order of their ranks, and plans the wait of the others anew. */
	private serve(now: MonotonicMs): void {
		const failed = new FailedNeeds();
		const asksForPermits = this.options.fleet.listServing(this.options.service).some(target => target.needsPermit);
		const tryLimit = asksForPermits ? maximumPermitTries : maximumFailedTries;
		const tried = new Set<QueueEntry>();
		this.levels.drain({
			canTry: entry => tried.size < tryLimit && !tried.has(entry) && entry.call.earliestAt <= now
				&& !failed.matches(entry.call.needs) && !this.shouldYield(entry.call, now),
			tryStart: entry => {
				entry.call.resume();
				if (!this.entries.has(entry.call)) {
					return true;
				}

				tried.add(entry);
				failed.add(entry.call.needs, {isHeld: isHeld(entry, now), appliesToOthers: !asksForPermits});
				return false;
			},
		}, now);
		for (const entry of this.entries.values()) {
			if (entry.checkAt <= now) {
				this.planWait(entry, now);
			}
		}
	}

	/** Whether a call leaves room to more urgent ones at other instances. That ends after a while, because reports are old. */
	private shouldYield(call: ArrivingCall, now: MonotonicMs): boolean {
		const {backlog, service} = this.options;
		return now < call.since + Math.min(longestYieldMs, call.latencyGoalMs * yieldFraction) && backlog.hasMoreUrgent(service, call, now);
	}

	/** Plans how long a call goes on waiting, and refuses it if it doesn't. Returns whether it waits. */
	private planWait(entry: QueueEntry, now: MonotonicMs): boolean {
		const {call} = entry;
		const fixedWait = call.planFixedWait(now);
		if (fixedWait?.type === 'wait') {
			entry.checkAt = now + Math.min(fixedWait.longestMs, checkIntervalMs) as MonotonicMs;
			return true;
		}

		if (fixedWait?.type === 'reject') {
			this.removeRefused(entry, 'target', now);
			call.refuse(fixedWait.error);
			return false;
		}

		const plan = planAdmission(call, this.demand.forecast(call, this.levels, now), this.options.bounds.longestWaitMs, now);
		if (plan.type === 'wait') {
			entry.checkAt = plan.until;
			return true;
		}

		this.removeRefused(entry, plan.reason, now);
		this.refuse(call, plan.reason, now);
		return false;
	}

	/** Ensures that a further call may wait, and refuses one that ranks lower if need be; returns whether it may. */
	private ensureRoom(call: QueuedCall, now: MonotonicMs): boolean {
		const {bounds} = this.options;
		while (!bounds.allows(call.bytes)) {
			const evicted = bounds.fits(call.bytes) ? chooseEvicted(this.entries.values(), call) : undefined;
			if (evicted === undefined) {
				return false;
			}

			this.removeRefused(evicted, 'full', now);
			this.refuse(evicted.call, 'full', now);
		}

		return true;
	}

	private refuse(call: QueuedCall, reason: RefusalReason, now: MonotonicMs): void {
		const {drainMs} = this.demand.forecast(call, this.levels, now);
		const retryAfterSeconds = planReturn({deadline: call.readDeadline(), drainMs, draw: this.options.draw()}, now);
		call.refuse(createRouterError('overloaded', `no target has room (${reason})`, {retryAfterSeconds}));
	}

	private removeRefused(entry: QueueEntry, reason: RefusalReason, now: MonotonicMs): void {
		const {recorder} = this.options;
		this.congestionLog.recordRefusal();
		this.remove(entry, now);
		recorder.recordWait(entry.call.priority, 'refused', now - entry.joinedAt);
		recorder.recordRefusal(entry.call.priority, reason);
	}

	private remove(entry: QueueEntry, now: MonotonicMs): void {
		this.entries.delete(entry.call);
		this.levels.remove(entry);
		this.options.bounds.remove(entry.call.bytes);
		if (this.entries.size === 0) {
			this.demand.recordEmpty(now);
			this.congestionLog.recordEmpty(now);
			// Ends the sleep of the task, so that no timer is left.
			this.wakeup.notify();
		}
	}

	private calculateSleepMs(now: MonotonicMs): number {
		const firstCheckAt = Math.min(...[...this.entries.values()].map(({checkAt}) => checkAt));
		return Math.max(1, Math.min(checkIntervalMs, firstCheckAt - now));
	}
}
