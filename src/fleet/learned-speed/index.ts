/**
 * Speed of one target in relation to the mean of its service, learned from the time to the first byte and the work that the
 * target had when the call was sent.
 *
 * What was learned fades, so that a target whose speed changes is judged anew. A target that has restarted is a new one with
 * unknown speed. One answer counts little beside the assumption of a mean speed, and none counts for more than a
 * multiple of what the mean target would have needed, so that neither a slow answer nor a target that answers
 * without doing the work changes the speed by much.
 */

import type {MonotonicMs} from '../../identity/ids/index.js';
import {DecayedSum} from '../decayed-sum/index.js';
import type {ServicePace} from '../service-pace/index.js';

const halfLifeMs = 10_000;
/** Work at mean speed that is assumed besides what was observed, in prompt tokens. */
const assumedTokens = 15_000;
/** Largest ratio between the time that an observation counts for and the time that a target of mean speed needs. */
const maximumDeviation = 4;
/** Bounds of the speed. */
export const minimumSpeed = 0.4;
const maximumSpeed = 2.5;

/** Work that a target was seen to do, and the time that it took. */
export type PaceObservation = {readonly workTokens: number; readonly ms: number};

/** Learned speed of one target. */
export class LearnedSpeed {
	private readonly workTokens = new DecayedSum(halfLifeMs);
	private readonly workMs = new DecayedSum(halfLifeMs);
	/** Own observations that other instances have not been told. */
	private readonly unreportedTokens = new DecayedSum(halfLifeMs);
	private readonly unreportedMs = new DecayedSum(halfLifeMs);

	constructor(private readonly service: ServicePace) {}

	/** Records an observation of this instance. */
	recordOwn(observation: PaceObservation, now: MonotonicMs): void {
		const counted = this.limitDeviation(observation, now);
		this.add(counted, now);
		this.unreportedTokens.add(counted.workTokens, now);
		this.unreportedMs.add(counted.ms, now);
	}

	/** Records what other instances have observed. */
	recordReported(observation: PaceObservation, now: MonotonicMs): void {
		if (observation.workTokens > 0 && observation.ms > 0) {
			this.add(this.limitDeviation(observation, now), now);
		}
	}

	/** Returns the own observations since the last call; undefined if there are none. */
	takeUnreported(now: MonotonicMs): PaceObservation | undefined {
		const observation = {workTokens: Math.round(this.unreportedTokens.take(now)), ms: Math.round(this.unreportedMs.take(now))};
		return observation.workTokens > 0 && observation.ms > 0 ? observation : undefined;
	}

	/** Returns the speed; 1 is that of the mean target, and of one that nothing is known of. */
	read(now: MonotonicMs): number {
		const msPerToken = this.service.readMsPerToken(now);
		if (msPerToken === undefined) {
			return 1;
		}

		const expectedMs = (assumedTokens + this.workTokens.read(now)) * msPerToken;
		const takenMs = (assumedTokens * msPerToken) + this.workMs.read(now);
		return Math.min(maximumSpeed, Math.max(minimumSpeed, expectedMs / takenMs));
	}

	/** Returns the mean time of the service for one prompt token, in milliseconds; undefined before the first answer. */
	readServiceMsPerToken(now: MonotonicMs): number | undefined {
		return this.service.readMsPerToken(now);
	}

	private add({workTokens, ms}: PaceObservation, now: MonotonicMs): void {
		this.workTokens.add(workTokens, now);
		this.workMs.add(ms, now);
		this.service.recordWork(workTokens, ms, now);
	}

	private limitDeviation({workTokens, ms}: PaceObservation, now: MonotonicMs): PaceObservation {
		const msPerToken = this.service.readMsPerToken(now);
		if (msPerToken === undefined) {
			return {workTokens, ms};
		}

		const expectedMs = workTokens * msPerToken;
		return {workTokens, ms: Math.min(expectedMs * maximumDeviation, Math.max(expectedMs / maximumDeviation, ms))};
	}
}
