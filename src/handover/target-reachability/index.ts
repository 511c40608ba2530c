/**
 * Finds out whether this instance is cut off from all targets, although callers and other instances reach it.
 *
 * Two kinds of evidence count. New connections that fail, while older ones may live on: when those to two targets fail and
 * none succeeds meanwhile, others are probed, and if none of them can be connected to, the instance is cut off until a probe
 * succeeds. And requests without an answer: when half of all targets leave them unanswered and no target answers
 * meanwhile, the instance is cut off for a while. Then repeatable requests try, until a target answers.
 */

import type {Clock} from '../../clock/clock/index.js';
import {Wakeup} from '../../clock/wakeup/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetFleet} from '../../fleet/target-fleet/index.js';
import type {ReachabilityMonitor} from '../../forwarding/reachability-monitor/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {RandomSource} from '../../random/random-source/index.js';

/** `trying`: the instance was cut off, and repeatable requests find out whether it still is. */
export type ReachabilityState = 'reachable' | 'cutOff' | 'trying';

/** Failed connections to this many targets lead to probes of others. */
const suspiciousTargets = 2;
/** Targets that are probed at once. */
const probedTargets = 4;
/** Interval of probes while no connection can be made, in milliseconds. */
const probeIntervalMs = 250;
/** Unanswered requests, and the share of the targets that left them unanswered, that show a cut. */
const minimumUnanswered = 4;
const unansweredShare = 0.5;
/** Minimum time for which no target answers, in milliseconds. */
const unansweredMs = 300;
/** Time for which an instance is taken to be cut off because nothing answered; doubles with each failed try. */
const holdMs = {shortest: 2000, longest: 8000};
/** Longest sleep between checks, in milliseconds; evidence wakes the task. */
const idleSleepMs = 60_000;

/** Options of `TargetReachability`. */
export type TargetReachabilityOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly random: RandomSource;
	readonly fleet: TargetFleet;
	/** Tries to connect to a target; resolves to whether it could. */
	readonly probe: (target: FleetTarget) => Promise<boolean>;
	/** Called when the instance is cut off or no longer is. */
	readonly onChange: () => void;
};

/** What is known of the paths to targets. */
export class TargetReachability implements ReachabilityMonitor {
	private state: ReachabilityState = 'reachable';
	private isUnconnected = false;
	/** Targets to which connections failed since one was last made. */
	private readonly unconnected = new Set<FleetTarget>();
	/** Targets that left requests unanswered since one last answered, and how many requests. */
	private readonly unanswered = new Set<FleetTarget>();
	private unansweredCount = 0;
	private unansweredSince = 0;
	private cutOffUntil = 0;
	private holdMs = holdMs.shortest;
	private readonly wakeup = new Wakeup();
	private verification: Promise<void> | undefined;

	constructor(private readonly options: TargetReachabilityOptions) {}

	/** Whether this instance reaches no target, as far as it knows. */
	get isCutOff(): boolean {
		return this.state !== 'reachable';
	}

	/** Whether failures of targets tell of the targets, and not of the paths to them. */
	get isWitness(): boolean {
		return this.state === 'reachable' && this.unconnected.size < suspiciousTargets;
	}

	/** Whether no connection can be made; otherwise a cut shows in requests without an answer. */
	get canConnect(): boolean {
		return !this.isUnconnected;
	}

	read(): ReachabilityState {
		return this.state;
	}

	/** Whether a request is to be sent by way of another instance. */
	shouldHandOver(isRepeatable: boolean, now: MonotonicMs): boolean {
		this.updateHold(now);
		return this.state === 'cutOff' || (this.state === 'trying' && !isRepeatable);
	}

	/** Resolves when probes that are under way have shown whether the instance is cut off. */
	async settle(): Promise<void> {
		await this.verification;
	}

	recordConnected(): void {
		this.unconnected.clear();
		if (this.isUnconnected) {
			this.isUnconnected = false;
			this.enter('reachable', 'a target accepts connections');
		}
	}

	recordConnectFailed(target: FleetTarget): void {
		this.unconnected.add(target);
		if (!this.isUnconnected && this.unconnected.size >= Math.min(suspiciousTargets, this.countTargets())) {
			this.verification ??= this.verify();
		}
	}

	recordAnswered(): void {
		this.unanswered.clear();
		this.unansweredCount = 0;
		this.holdMs = holdMs.shortest;
		if (this.isCutOff && !this.isUnconnected) {
			this.enter('reachable', 'a target answers');
		}
	}

	recordUnanswered(target: FleetTarget, now: MonotonicMs): void {
		if (this.unanswered.size === 0) {
			this.unansweredSince = now;
		}

		this.unanswered.add(target);
		this.unansweredCount += 1;
		const isManyTargets = this.unanswered.size >= Math.max(suspiciousTargets, this.countTargets() * unansweredShare);
		if (this.state !== 'cutOff' && isManyTargets && this.unansweredCount >= minimumUnanswered && now - this.unansweredSince >= unansweredMs) {
			this.cutOffUntil = now + this.holdMs;
			this.holdMs = Math.min(this.holdMs * 2, holdMs.longest);
			this.enter('cutOff', `${this.unanswered.size} targets leave requests unanswered`);
		}
	}

	/** Probes targets while no connection can be made, until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.options;
		while (!signal.aborted) {
			await this.wakeup.wait(clock, this.isUnconnected ? probeIntervalMs : idleSleepMs, signal);
			if (this.isUnconnected && !signal.aborted && await this.probeSome([])) {
				this.recordConnected();
			}
		}
	}

	/** Probes other targets than those to which connections failed. */
	private async verify(): Promise<void> {
		const failed = this.unconnected.size;
		const isConnected = await this.probeSome([...this.unconnected]);
		this.verification = undefined;
		if (isConnected) {
			this.recordConnected();
		} else if (this.unconnected.size > 0) {
			this.isUnconnected = true;
			this.enter('cutOff', `connections to ${failed} targets and to those probed after them fail`);
			this.wakeup.notify();
		}
	}

	/** Probes some targets, if possible others than `excluded`; resolves to whether any could be connected to. */
	private async probeSome(excluded: readonly FleetTarget[]): Promise<boolean> {
		const {fleet, random, probe} = this.options;
		const targets = [...fleet.list()];
		const others = targets.filter(target => !excluded.includes(target));
		const chosen = random.pickSome(others.length > 0 ? others : targets, probedTargets);
		const results = await Promise.all(chosen.map(async target => probe(target)));
		return results.includes(true);
	}

	private countTargets(): number {
		return [...this.options.fleet.list()].length;
	}

	/** Lets repeatable requests try once the hold has passed. */
	private updateHold(now: MonotonicMs): void {
		if (this.state === 'cutOff' && !this.isUnconnected && now >= this.cutOffUntil) {
			this.unanswered.clear();
			this.unansweredCount = 0;
			this.enter('trying', 'requests try whether a target answers');
		}
	}

	private enter(state: ReachabilityState, reason: string): void {
		if (this.state === state) {
			return;
		}

		const wasCutOff = this.isCutOff;
		this.state = state;
		this.options.logger.warn('reachability of targets changed', {state, reason, targets: this.countTargets()});
		if (this.isCutOff !== wasCutOff) {
			this.options.onChange();
		}
	}
}
