/** Waits for a target in the admission queue of the call's service. */

import type {AdmissionQueue, LeaveReason} from '../../admission/admission-queue/index.js';
import type {AdmissionQueues} from '../../admission/admission-queues/index.js';
import type {
	CallNeeds, CallRank, FixedWait, QueuedCall,
} from '../../admission/queued-call/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {WaitObstacle} from '../call-times/index.js';
import {estimateTargetWait} from '../estimate-target-wait/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import {listCandidates} from '../list-candidates/index.js';
import {planWait} from '../plan-wait/index.js';
import {selectTarget} from '../select-target/index.js';
import type {Attempt} from '../session-types/index.js';
import type {TargetWait, WaitingCallParts} from '../target-wait/index.js';

/** Priority of streams that continue, which goes before that of all new calls. */
const continuedStreamPriority = -1;
/** Cost of a call that states no token counts. */
const plainCallTokens = 1000;
/** Time before a call is sent again to targets that have refused it, in milliseconds. */
const refusedPauseMs = 60;
/** Selected targets whose pace is checked before the call waits. */
const maximumSelections = 3;
/** Share of an organisation relative to others; the configuration doesn't name weights. */
const organisationWeight = 1;

/** Wait of one call. */
export class QueuedWait implements TargetWait {
	private readonly queue: AdmissionQueue;
	/** The call in the queue; undefined unless it waits. */
	private queued: QueuedCall | undefined;
	private hasArrived = false;
	/** What kept the call back when it last looked for a target. */
	private obstacle: WaitObstacle = 'room';

	constructor(private readonly call: WaitingCallParts, private readonly context: ForwardingContext, queues: AdmissionQueues) {
		this.queue = queues.get(call.session.service);
	}

	select(since: MonotonicMs, now: MonotonicMs): FleetTarget | undefined {
		const {selection, attempts, session: {route}} = this.call;
		const rank = this.describeRank(since);
		if (!this.hasArrived) {
			this.hasArrived = true;
			this.queue.recordArrival(rank, now);
			this.queue.pace.recordGoal(route.latencyGoalMs, now);
		}

		// A call that has been sent before doesn't queue behind others again.
		if (attempts.count > 0) {
			return selectTarget(selection, this.context, now);
		}

		const hasTurn = this.queued !== undefined || !this.queue.shouldJoin({...rank, needs: this.describeNeeds(), latencyGoalMs: route.latencyGoalMs}, now);
		this.obstacle = hasTurn ? 'room' : 'turn';
		return hasTurn ? this.selectInTime(now) : undefined;
	}

	begin(since: MonotonicMs, now: MonotonicMs): void {
		if (this.queued === undefined) {
			this.call.times.recordWait(this.isHeldBackByRoom(now) ? this.obstacle : 'target', now);
			this.queued = this.createQueuedCall(since, now);
			this.queue.join(this.queued, now);
		}
	}

	recordSent({target, record}: Attempt, since: MonotonicMs, now: MonotonicMs): void {
		this.call.times.recordWaitEnd(now);
		this.leave('sent', now);
		this.queue.recordSent(this.describeRank(since), now);
		this.queue.pace.recordSent(target, record, now);
	}

	recordAnswer({target, record}: Attempt, now: MonotonicMs): void {
		this.queue.pace.recordAnswer(target, record, now);
		this.queue.wake();
	}

	stop(): void {
		const now = this.context.clock.readMonotonic();
		this.call.times.recordWaitEnd(now);
		this.leave('ended', now);
	}

	/** Selects a target that would begin to answer in time. In a large fleet each selection compares a few targets only. */
	private selectInTime(now: MonotonicMs): FleetTarget | undefined {
		const {selection} = this.call;
		const triedTargets = new Set(selection.triedTargets);
		for (let tries = 0; tries < maximumSelections; tries += 1) {
			const target = selectTarget({...selection, triedTargets}, this.context, now);
			if (target === undefined || this.queue.pace.allows(target, selection.hints.estimatePrefillTokens(target, now), now)) {
				return target;
			}

			this.obstacle = 'pace';
			triedTargets.add(target);
		}

		return undefined;
	}

	private leave(reason: LeaveReason, now: MonotonicMs): void {
		const {queued} = this;
		this.queued = undefined;
		if (queued !== undefined) {
			this.queue.leave(queued, reason, now);
		}
	}

	private describeRank(since: MonotonicMs): CallRank {
		const {session: {call: {work}, route, organisation}, relay} = this.call;
		return {
			priority: relay.hasBegun ? continuedStreamPriority : organisation?.priority ?? route.priority,
			organisation: organisation?.id, route: route.id, weight: organisationWeight,
			costTokens: work === undefined ? plainCallTokens : work.promptTokens + work.maximumOutputTokens,
			since,
		};
	}

	private describeNeeds(): CallNeeds {
		const {session: {call: {work}}, selection: {hints, origin}} = this.call;
		return {model: work?.model, software: origin.read(), memoryTokens: hints.memoryTokens};
	}

	private createQueuedCall(since: MonotonicMs, now: MonotonicMs): QueuedCall {
		const {session: {route, body, deadline}, attempts: {triedTargets}, listener, tryAgain, refuse} = this.call;
		return {
			...this.describeRank(since), needs: this.describeNeeds(), bytes: body?.length ?? 0, latencyGoalMs: route.latencyGoalMs,
			earliestAt: triedTargets.size === 0 ? now : now + refusedPauseMs as MonotonicMs,
			readDeadline: () => deadline.read(),
			planFixedWait: now => this.planFixedWait(since, now),
			resume() {
				triedTargets.clear();
				listener.protect(tryAgain);
			},
			refuse: error => {
				this.queued = undefined;
				refuse(error);
			},
		};
	}

	/** Plans the wait of a call that could not be sent even if a target had room; undefined for any other call. */
	private planFixedWait(since: MonotonicMs, now: MonotonicMs): FixedWait | undefined {
		const {session, selection, attempts: {mayHaveRun}} = this.call;
		return this.isHeldBackByRoom(now)
			? undefined
			: planWait({
				session, selection, deadline: session.deadline.read(), mayHaveRun, since,
			}, this.context, now);
	}

	/** Whether the call only waits for room: not for the version of its stream, nor for the end of pauses or limits, and nothing of it has run or begun. */
	private isHeldBackByRoom(now: MonotonicMs): boolean {
		const {selection, attempts: {mayHaveRun}, relay} = this.call;
		return !selection.origin.isBound && !relay.hasBegun && !mayHaveRun
			&& listCandidates(selection, this.context.fleet).length > 0 && estimateTargetWait(selection, this.context, now) === undefined;
	}
}
