/**
 * Learns how many prompt tokens the engines of a service process in a millisecond, and tells by it whether an engine can begin
 * to answer a further call in time.
 *
 * Load pattern: an engine has memory for ten long prompts and computes one after the other. If all are sent to it as soon as there
 * is memory, each waits behind nine others and is late, and no later call can be put before them. So a call whose engine would not
 * begin to answer in time stays in the queue.
 */

import type {FleetTarget, TargetCall} from '../../fleet/fleet-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import {RecentMinimum} from '../recent-minimum/index.js';

/** Time in which the weight of a sample falls to 1 / e, in milliseconds. */
const sampleDecayMs = 2000;
/** Time for which the shortest time to an answer, and the latency goal of a call, count, in milliseconds. */
const validityMs = 10_000;
/** Least part of the tightest latency goal that prompts at an engine may take, however long an idle engine takes to answer. */
const minimumGoalFraction = 0.4;
/** Calls that an engine gets whatever its pace. */
const minimumCalls = 2;

/** Pace of the engines of one service. */
export class AnswerPace {
	/** Decayed sum of the prompt tokens that were at an engine when a call was sent to it. */
	private tokens = 0;
	/** Decayed sum of the times to the answers of these calls, beyond what an idle engine takes. */
	private queuedMs = 0;
	private updatedAt = 0;
	/** The shortest time to an answer, which is what an idle engine takes. */
	private readonly shortestMs = new RecentMinimum(validityMs);
	/** The tightest latency goal. */
	private readonly goalMs = new RecentMinimum(validityMs);
	/** Prompt tokens at the engine when the call was sent, with its own. */
	private readonly sentTokens = new WeakMap<TargetCall, number>();

	/** `readGoalFraction`: the part of the tightest latency goal that prompts at an engine may take; 0 if the pace doesn't matter. */
	constructor(private readonly readGoalFraction: () => number) {}

	/** Records the latency goal of a call that has arrived. */
	recordGoal(latencyGoalMs: number, now: MonotonicMs): void {
		this.goalMs.add(latencyGoalMs, now);
	}

	/** Records that a call was sent to a target, with the prompts that the engine has yet to process, its own included. */
	recordSent(target: FleetTarget, call: TargetCall, now: MonotonicMs): void {
		this.sentTokens.set(call, target.readTotalLoad(now).prefillTokens);
	}

	/**
	 * Records that the answer to a call has begun. Part of the work before it may have been reported by other instances only after
	 * it was sent, so the larger of both views counts.
	 */
	recordAnswer(target: FleetTarget, call: TargetCall, now: MonotonicMs): void {
		const sentTokens = this.sentTokens.get(call) ?? 0;
		this.sentTokens.delete(call);
		if (sentTokens === 0) {
			return;
		}

		const tokens = Math.max(sentTokens, target.readTotalLoad(now).prefillTokens + call.prefillTokens);
		const durationMs = now - call.sentAt;
		const weight = Math.exp(Math.min(0, this.updatedAt - now) / sampleDecayMs);
		this.shortestMs.add(durationMs, now);
		this.tokens = (this.tokens * weight) + tokens;
		this.queuedMs = (this.queuedMs * weight) + durationMs - this.shortestMs.read(now);
		this.updatedAt = now;
	}

	/** Whether `target` would begin to answer a call with `prefillTokens` in time; true while the pace is unknown. */
	allows(target: FleetTarget, prefillTokens: number, now: MonotonicMs): boolean {
		const load = target.readTotalLoad(now);
		const goalFraction = this.readGoalFraction();
		if (goalFraction === 0 || this.tokens === 0 || load.calls < minimumCalls) {
			return true;
		}

		const goalMs = this.goalMs.read(now);
		const shortestMs = this.shortestMs.read(now);
		const limitMs = Math.max((goalMs * goalFraction) - shortestMs, goalMs * minimumGoalFraction);
		return !Number.isFinite(shortestMs) || (load.prefillTokens + prefillTokens) * this.queuedMs / this.tokens <= limitMs;
	}
}
