/**
 * State of one listed target: the description that it announced, what it has stated in answers, and what this instance has
 * observed on calls sent to it. A target that restarts under the same id is a new `FleetTarget`, and so is one that is
 * listed again after its entry was missing; the statements of its incarnation are then the same object.
 */

import type {
	DataCentreId, InstanceId, MonotonicMs, SoftwareVersion, TargetId,
} from '../../identity/ids/index.js';
import {PermitAccount} from '../../limits/permit-account/index.js';
import {hashText} from '../../random/rank-by-hash/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import {IncarnationStatements} from '../../statements/incarnation-statements/index.js';
import type {StatedNumber} from '../../statements/stated-number/index.js';
import type {TargetPause} from '../../statements/target-pause/index.js';
import {LearnedSpeed} from '../learned-speed/index.js';
import {RemoteLoads, type ReportTimes, type TargetLoad} from '../remote-loads/index.js';
import {RestartSuspicion} from '../restart-suspicion/index.js';
import {ServicePace} from '../service-pace/index.js';

export type {TargetLoad} from '../remote-loads/index.js';

/** Description of a target, as the target announces it. */
export type TargetDescription = {
	readonly id: TargetId;
	readonly service: ServiceId;
	/** `host:port`. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Unix time of the start, in milliseconds. It distinguishes a restarted target with the same id. */
	readonly startedAt: number;
	/** Version of the target's software, not of its weights. */
	readonly softwareVersion: SoftwareVersion;
	/** Weights version of each served model, by model name. */
	readonly weightsVersions: ReadonlyMap<string, number>;
};

/** Time after a failure within which the next one adds to the count instead of starting a new one. */
const failureWindowMs = 5000;
/** First cooldown of a failing target; doubles with each further failure. */
const initialCooldownMs = 250;
const maximumCooldownMs = 4000;
/** Failure count up to which a target gets no cooldown. A single failure says little about the next call. */
const toleratedFailureCount = 1;
/** Minimum failure count of an unreachable target, which stays listed until its heartbeats time out. */
const unreachableFailureCount = 4;
/** Time without a byte from a target with unanswered calls after which it counts as silent. */
export const silenceTimeoutMs = 700;

/** Load of a call in flight besides its prefill, as the number of prompt tokens that take the same effort. */
const loadPerCallTokens = 400;
/** Time to the first byte besides the work, as the number of prompt tokens that take the same time. */
const answerOverheadTokens = 1400;

/** A call in flight at the target. */
export type TargetCall = {
	readonly sentAt: MonotonicMs;
	/** Prompt tokens that the target is expected to compute before it answers. */
	readonly prefillTokens: number;
	/** Engine memory that the call takes, in tokens. */
	readonly memoryTokens: number;
	/** Work that the target had when the call was sent, the call's own included, in prompt tokens. */
	readonly workTokens: number;
	hasAnswered: boolean;
};

/** A target with its calls, loads and recent failures. */
export class FleetTarget {
	readonly calls = new Set<TargetCall>();
	readonly permits = new PermitAccount();
	/** Whether the process may have been replaced, which the list doesn't show yet. */
	readonly restartSuspicion = new RestartSuspicion();
	/** Time until which a rollout keeps new calls away, on this instance's monotonic clock. */
	cordonedUntil = 0;
	/** Hash of the id, for rendezvous hashing. */
	readonly idHash: number;
	/** Speed in relation to the other targets of the service. */
	readonly speed: LearnedSpeed;
	private readonly remoteLoads = new RemoteLoads();
	private lastReceivedAt = 0;
	private lastFailedAt = 0;
	private unreachableAt = 0;
	private failureCount = 0;

	/** `pace` is shared by the targets of the service. */
	constructor(public description: TargetDescription, readonly statements = new IncarnationStatements(), private readonly pace = new ServicePace()) {
		this.idHash = hashText(description.id);
		this.speed = new LearnedSpeed(pace);
	}

	get limit(): StatedNumber {
		return this.statements.limit;
	}

	get brittleness(): StatedNumber {
		return this.statements.brittleness;
	}

	/** Whether each request to the target needs a permit. */
	get needsPermit(): boolean {
		return this.limit.read() !== undefined || this.brittleness.read() !== undefined;
	}

	get pause(): TargetPause {
		return this.statements.pause;
	}

	/** Newer of the announced and the last observed weights version of `model`; undefined when the model isn't served. */
	readVersion(model: string): number | undefined {
		const announced = this.description.weightsVersions.get(model);
		const observed = this.statements.weightsVersions.get(model);
		return observed === undefined || (announced !== undefined && announced >= observed) ? announced : observed;
	}

	/** Whether the target has said in an answer that it is leaving. */
	get hasStatedLeaving(): boolean {
		return this.statements.isLeaving;
	}

	/** Whether the target is leaving, as it has said in an answer or as its entry shows or has shown. */
	get isLeaving(): boolean {
		return this.statements.isLeaving || this.statements.isLeavingListed || this.description.isLeaving;
	}

	/** Records that the target has said in an answer that it is leaving. Returns whether that is new. */
	recordLeaving(): boolean {
		return this.statements.recordLeaving();
	}

	/** Records the weights version that an answer or a report contained, if any. */
	recordVersion(model: string | undefined, version: number | undefined): void {
		if (model !== undefined && version !== undefined) {
			this.statements.weightsVersions.set(model, version);
		}
	}

	beginCall(prefillTokens: number, now: MonotonicMs, memoryTokens = 0): TargetCall {
		const call: TargetCall = {
			sentAt: now, prefillTokens, memoryTokens, workTokens: this.estimateLoad(now) + prefillTokens + answerOverheadTokens, hasAnswered: false,
		};
		this.calls.add(call);
		return call;
	}

	/** Ends a call. `lastReceivedAt` is when the last bytes of its answer arrived; undefined if the time in flight says nothing. */
	endCall(call: TargetCall, lastReceivedAt?: MonotonicMs): void {
		this.calls.delete(call);
		if (call.hasAnswered && lastReceivedAt !== undefined) {
			this.pace.recordCall(lastReceivedAt - call.sentAt);
		}
	}

	/** Records that bytes of any answer arrived. */
	recordReceivedBytes(now: MonotonicMs): void {
		this.lastReceivedAt = now;
	}

	/** Time at which bytes of any answer last arrived; 0 before the first. */
	readLastReceivedAt(): number {
		return this.lastReceivedAt;
	}

	/** Records the head of a successful answer. */
	recordAnswer(call: TargetCall, now: MonotonicMs): void {
		call.hasAnswered = true;
		this.lastReceivedAt = now;
		this.pace.recordResponse(now - call.sentAt);
	}

	/** Learns the target's speed from the first bytes of a successful answer. Calls without a prompt tell nothing of it. */
	learnSpeed({prefillTokens, workTokens, sentAt}: TargetCall, now: MonotonicMs): void {
		if (prefillTokens > 0) {
			this.speed.recordOwn({workTokens, ms: now - sentAt}, now);
		}
	}

	recordSuccess(): void {
		this.failureCount = Math.max(0, this.failureCount - 1);
	}

	/** Records an attempt that ended without a usable answer because of the target. */
	recordFailure(now: MonotonicMs): void {
		this.failureCount = now - this.lastFailedAt > failureWindowMs ? 1 : this.failureCount + 1;
		this.lastFailedAt = now;
	}

	/** Records that nothing listens at the target's address, or that a different target does. */
	recordUnreachable(now: MonotonicMs): void {
		this.recordFailure(now);
		this.unreachableAt = now;
		this.failureCount = Math.max(this.failureCount, unreachableFailureCount);
	}

	/** Time at which the target was last found unreachable; 0 before the first time. */
	readUnreachableAt(): number {
		return this.unreachableAt;
	}

	/** Whether the target is in its cooldown after recent failures. */
	isInCooldown(now: MonotonicMs): boolean {
		if (this.failureCount <= toleratedFailureCount) {
			return false;
		}

		const cooldownMs = Math.min(maximumCooldownMs, initialCooldownMs * (2 ** (this.failureCount - toleratedFailureCount - 1)));
		return now - this.lastFailedAt < cooldownMs;
	}

	/** Whether a call is unanswered and no bytes of any answer have arrived for `silenceTimeoutMs`. */
	isSilent(now: MonotonicMs): boolean {
		for (const call of this.calls) {
			if (!call.hasAnswered && now - Math.max(call.sentAt, this.lastReceivedAt) > silenceTimeoutMs) {
				return true;
			}
		}

		return false;
	}

	/** Whether the target wants no request of this instance now, or no further one until one after its pause is served. */
	isPaused(now: MonotonicMs): boolean {
		return !this.pause.allows(this.calls, now);
	}

	isCordoned(now: MonotonicMs): boolean {
		return now < this.cordonedUntil;
	}

	/** Work in flight that this instance has sent. */
	readOwnLoad(): TargetLoad {
		let prefillTokens = 0;
		let memoryTokens = 0;
		for (const call of this.calls) {
			prefillTokens += call.hasAnswered ? 0 : call.prefillTokens;
			memoryTokens += call.memoryTokens;
		}

		return {calls: this.calls.size, prefillTokens, memoryTokens};
	}

	/** Records the load that another instance reported. */
	recordRemoteLoad(instance: InstanceId, load: TargetLoad, times: ReportTimes): void {
		this.remoteLoads.record(instance, load, times);
	}

	/** Records that another instance has no work in flight here. `measuredAt` is undefined for a report that needs no correction. */
	forgetRemoteLoad(instance: InstanceId, measuredAt?: MonotonicMs): void {
		this.remoteLoads.forget(instance, measuredAt);
	}

	/** Load from all instances as reported, as the number of prompt tokens that take the same effort. */
	measureLoad(now: MonotonicMs): number {
		return weighLoad(this.readTotalLoad(now));
	}

	/** Load from all instances, corrected for the age of the reports, as the number of prompt tokens that take the same effort. */
	estimateLoad(now: MonotonicMs): number {
		return weighLoad(addLoads(this.readOwnLoad(), this.remoteLoads.estimate(this.pace, now)));
	}

	/** Engine memory that the calls of all instances take as reported, in tokens. */
	measureMemory(now: MonotonicMs): number {
		return this.readTotalLoad(now).memoryTokens;
	}

	/** Engine memory that the calls of all instances take, with what was probably sent since the reports, in tokens. */
	estimateMemory(now: MonotonicMs): number {
		return this.readOwnLoad().memoryTokens + this.remoteLoads.estimateMemory(this.pace, now);
	}

	/** Work in flight from all instances as reported. */
	readTotalLoad(now: MonotonicMs): TargetLoad {
		return addLoads(this.readOwnLoad(), this.remoteLoads.sum(now));
	}

	/** Work in flight from this instance and from `instances`. */
	readLoadFrom(instances: {has(instance: InstanceId): boolean}, now: MonotonicMs): TargetLoad {
		return addLoads(this.readOwnLoad(), this.remoteLoads.sum(now, instances));
	}
}

function addLoads(first: TargetLoad, second: TargetLoad): TargetLoad {
	return {
		calls: first.calls + second.calls,
		prefillTokens: first.prefillTokens + second.prefillTokens,
		memoryTokens: first.memoryTokens + second.memoryTokens,
	};
}

function weighLoad({calls, prefillTokens}: TargetLoad): number {
	return prefillTokens + (calls * loadPerCallTokens);
}
