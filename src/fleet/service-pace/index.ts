/**
 * What an instance has learned from the answers of all targets of one service: the time that a prompt token takes on average,
 * and how long calls wait for their first byte and stay in flight. The speed of each target is relative to this mean.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {DecayedSum} from '../decayed-sum/index.js';

const halfLifeMs = 10_000;
/** Times that are assumed before the first answer, in milliseconds. */
const assumedResponseMs = 200;
const assumedCallMs = 800;
/** Weight of a new time in its moving average. */
const newTimeWeight = 0.05;
/** Longest time that enters an average, in milliseconds, so that one stuck call has little influence. */
const maximumAveragedMs = 5000;

/** Mean pace of the targets of one service. */
export class ServicePace {
	private readonly workTokens = new DecayedSum(halfLifeMs);
	private readonly workMs = new DecayedSum(halfLifeMs);
	private averageResponseMs = assumedResponseMs;
	private averageCallMs = assumedCallMs;

	/** Mean time from sending a call to the first byte of its answer, in milliseconds. */
	get responseMs(): number {
		return this.averageResponseMs;
	}

	/** Mean time for which a call is in flight, in milliseconds. */
	get callMs(): number {
		return this.averageCallMs;
	}

	/** Records that some target took `ms` for `workTokens`. */
	recordWork(workTokens: number, ms: number, now: MonotonicMs): void {
		this.workTokens.add(workTokens, now);
		this.workMs.add(ms, now);
	}

	/** Returns the mean time for one prompt token, in milliseconds; undefined before the first answer. */
	readMsPerToken(now: MonotonicMs): number | undefined {
		const tokens = this.workTokens.read(now);
		return tokens < 1 ? undefined : this.workMs.read(now) / tokens;
	}

	/** Records the time to the first byte of an answer. */
	recordResponse(ms: number): void {
		this.averageResponseMs = moveAverage(this.averageResponseMs, ms);
	}

	/** Records the time for which a call was in flight. */
	recordCall(ms: number): void {
		this.averageCallMs = moveAverage(this.averageCallMs, ms);
	}
}

function moveAverage(average: number, ms: number): number {
	return average + ((Math.min(Math.max(1, ms), maximumAveragedMs) - average) * newTimeWeight);
}
