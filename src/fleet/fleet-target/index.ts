/**
 * One target as this instance sees it: what it announced of itself, and what was observed on calls
 * sent to it. A restart of the target under the same id makes another `FleetTarget`.
 */

import type {
	DataCentreId, InstanceId, MonotonicMs, TargetId,
} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** What a target announces of itself. */
export type TargetDescription = {
	readonly id: TargetId;
	readonly service: ServiceId;
	/** `host:port`. */
	readonly address: string;
	readonly dataCentre: DataCentreId;
	readonly slots: number;
	readonly isLeaving: boolean;
	/** Unix time of its start, in milliseconds; tells two lives under one id apart. */
	readonly startedAt: number;
	/** Weights version of each model that it serves. */
	readonly weightsVersions: ReadonlyMap<string, number>;
};

/** Failures within this time of each other add up, in milliseconds. */
const failureWindowMs = 5000;
/** First time for which a failing target is avoided, in milliseconds; doubles with each further failure. */
const firstAvoidanceMs = 250;
const longestAvoidanceMs = 4000;
/** Failures in a row from which a target is avoided. A single failure says little about the next call. */
const toleratedFailures = 1;
/** Failures that an unreachable target counts for; the list names it until its heartbeats are missed. */
const unreachableFailures = 4;
/** Time without any byte from a target with unanswered calls after which it counts as silent, in milliseconds. */
export const silenceMs = 700;

/** Load of a call that is past its prefill, in prompt tokens of equal effort. */
const runningCallTokens = 400;

/** Work at a target that one instance sent there. */
export type TargetLoad = {
	readonly calls: number;
	/** Prompt tokens that the target has still to compute. */
	readonly prefillTokens: number;
	/** Tokens of memory that the calls take. */
	readonly memoryTokens: number;
};

type RemoteLoad = TargetLoad & {readonly until: MonotonicMs};

/** A call in progress at the target. */
export type TargetCall = {
	readonly sentAt: MonotonicMs;
	/** Prompt tokens that the target is expected to compute before its first answer. */
	readonly prefillTokens: number;
	/** Tokens of memory that the call takes at an engine. */
	readonly memoryTokens: number;
	hasAnswered: boolean;
};

/** A target with this instance's own observations. */
export class FleetTarget {
	readonly calls = new Set<TargetCall>();
	/** Until when a rollout keeps new calls away, on this instance's clock. */
	cordonedUntil = 0;
	private readonly remoteLoads = new Map<InstanceId, RemoteLoad>();
	private heardAt = 0;
	private failedAt = 0;
	private failures = 0;
	private readonly learntVersions = new Map<string, number>();

	constructor(public description: TargetDescription) {}

	/** Weights version of `model`, the announced one or one learnt from an answer; undefined when it is not served. */
	readVersion(model: string): number | undefined {
		const announced = this.description.weightsVersions.get(model);
		const learnt = this.learntVersions.get(model);
		return learnt === undefined || (announced !== undefined && announced >= learnt) ? announced : learnt;
	}

	/** Notes the weights version that an answer or a report showed, if it did. */
	noteVersion(model: string | undefined, version: number | undefined): void {
		if (model !== undefined && version !== undefined) {
			this.learntVersions.set(model, version);
		}
	}

	beginCall(prefillTokens: number, now: MonotonicMs, memoryTokens = 0): TargetCall {
		const call: TargetCall = {
			sentAt: now, prefillTokens, memoryTokens, hasAnswered: false,
		};
		this.calls.add(call);
		return call;
	}

	endCall(call: TargetCall): void {
		this.calls.delete(call);
	}

	/** Notes that bytes of any answer arrived. */
	noteHeard(now: MonotonicMs): void {
		this.heardAt = now;
	}

	/** When bytes of any answer arrived last; 0 before the first. */
	readHeardAt(): number {
		return this.heardAt;
	}

	/** Notes the head of a good answer. */
	noteAnswer(call: TargetCall, now: MonotonicMs): void {
		call.hasAnswered = true;
		this.heardAt = now;
	}

	noteSuccess(): void {
		this.failures = Math.max(0, this.failures - 1);
	}

	/** Notes an attempt that ended without a usable answer through the target's fault. */
	noteFailure(now: MonotonicMs): void {
		this.failures = now - this.failedAt > failureWindowMs ? 1 : this.failures + 1;
		this.failedAt = now;
	}

	/** Notes that nothing listens at the target's address, or another target does. */
	noteUnreachable(now: MonotonicMs): void {
		this.noteFailure(now);
		this.failures = Math.max(this.failures, unreachableFailures);
	}

	/** Whether recent failures advise against this target. */
	isAvoided(now: MonotonicMs): boolean {
		if (this.failures <= toleratedFailures) {
			return false;
		}

		const avoidanceMs = Math.min(longestAvoidanceMs, firstAvoidanceMs * (2 ** (this.failures - toleratedFailures - 1)));
		return now - this.failedAt < avoidanceMs;
	}

	/** Whether calls wait here while nothing at all has been heard for `silenceMs`. */
	isSilent(now: MonotonicMs): boolean {
		for (const call of this.calls) {
			if (!call.hasAnswered && now - Math.max(call.sentAt, this.heardAt) > silenceMs) {
				return true;
			}
		}

		return false;
	}

	isCordoned(now: MonotonicMs): boolean {
		return now < this.cordonedUntil;
	}

	/** Work that this instance sent. */
	readOwnLoad(): TargetLoad {
		let prefillTokens = 0;
		let memoryTokens = 0;
		for (const call of this.calls) {
			prefillTokens += call.hasAnswered ? 0 : call.prefillTokens;
			memoryTokens += call.memoryTokens;
		}

		return {calls: this.calls.size, prefillTokens, memoryTokens};
	}

	/** Takes over what another instance reported; it counts until `until`. */
	noteRemoteLoad(instance: InstanceId, load: TargetLoad, until: MonotonicMs): void {
		this.remoteLoads.set(instance, {...load, until});
	}

	/** Notes that another instance has no work here any more. */
	forgetRemoteLoad(instance: InstanceId): void {
		this.remoteLoads.delete(instance);
	}

	/** Work of all instances, in prompt tokens of equal effort. */
	measureLoad(now: MonotonicMs): number {
		return this.listLoads(now).reduce((sum, load) => sum + weighLoad(load), 0);
	}

	/** Tokens of memory that the calls of all instances take. */
	measureMemory(now: MonotonicMs): number {
		return this.listLoads(now).reduce((sum, load) => sum + load.memoryTokens, 0);
	}

	/** The own load and those of other instances that are recent. */
	private listLoads(now: MonotonicMs): TargetLoad[] {
		const loads: TargetLoad[] = [this.readOwnLoad()];
		for (const [instance, load] of this.remoteLoads) {
			if (now > load.until) {
				this.remoteLoads.delete(instance);
			} else {
				loads.push(load);
			}
		}

		return loads;
	}
}

function weighLoad({calls, prefillTokens}: TargetLoad): number {
	return prefillTokens + (calls * runningCallTokens);
}
