/**
 * Work in flight at one target that other instances reported, and an estimate of what it has become since.
 *
 * While a report is on its way, other instances send further work and some of the reported work ends. The older the report,
 * the less it tells of the present. The estimate therefore moves from the reported value to the mean of the last
 * seconds, as fast as calls of the service end.
 */

import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {ServicePace} from '../service-pace/index.js';

/** Work in flight that one instance has sent to a target. */
export type TargetLoad = {
	readonly calls: number;
	/** Prompt tokens that the target still has to compute. */
	readonly prefillTokens: number;
	/** Engine memory that the calls take, in tokens. */
	readonly memoryTokens: number;
};

/** When a report of loads was made, and until when it counts. */
export type ReportTimes = {
	/** Undefined for reports that need no correction. */
	readonly measuredAt?: MonotonicMs;
	readonly expiresAt: MonotonicMs;
};

type RemoteLoad = {readonly load: TargetLoad; readonly times: ReportTimes};

/** Time over which the mean is taken, in milliseconds. */
const averagingMs = 3000;

/** No work. */
export const noLoad: TargetLoad = {calls: 0, prefillTokens: 0, memoryTokens: 0};

/** Reported loads of one target. */
export class RemoteLoads {
	private readonly loads = new Map<InstanceId, RemoteLoad>();
	/** Mean of the reports that need correction. */
	private average = noLoad;
	/** When the last report that needs correction was made; undefined if there was none. */
	private lastMeasuredAt: MonotonicMs | undefined;

	/** Records what `instance` reported. */
	record(instance: InstanceId, load: TargetLoad, times: ReportTimes): void {
		this.updateAverage(times.measuredAt);
		this.loads.set(instance, {load, times});
	}

	/** Records that `instance` has no work in flight. `measuredAt` is undefined for a report that needs no correction. */
	forget(instance: InstanceId, measuredAt?: MonotonicMs): void {
		this.updateAverage(measuredAt);
		this.loads.delete(instance);
	}

	/** Sums up the reports, or those of `instances`. Reports that have expired are deleted. */
	sum(now: MonotonicMs, instances?: {has(instance: InstanceId): boolean}): TargetLoad {
		let {calls, prefillTokens, memoryTokens} = noLoad;
		for (const [instance, {load, times}] of this.loads) {
			if (now > times.expiresAt) {
				this.loads.delete(instance);
			} else if (instances === undefined || instances.has(instance)) {
				calls += load.calls;
				prefillTokens += load.prefillTokens;
				memoryTokens += load.memoryTokens;
			}
		}

		return {calls, prefillTokens, memoryTokens};
	}

	/** Estimates the present work from the reports and the mean. */
	estimate({responseMs, callMs}: ServicePace, now: MonotonicMs): TargetLoad {
		const reported = this.sum(now);
		if (!this.hasMean(now)) {
			return reported;
		}

		const delayed = this.sumDelayed(now);
		const callChange = this.calculateChange(callMs, now);
		return {
			calls: reported.calls + ((this.average.calls - delayed.calls) * callChange),
			prefillTokens: reported.prefillTokens + ((this.average.prefillTokens - delayed.prefillTokens) * this.calculateChange(responseMs, now)),
			memoryTokens: reported.memoryTokens + (Math.max(0, this.average.memoryTokens - delayed.memoryTokens) * callChange),
		};
	}

	/**
	 * Estimates the memory that the present work takes. It is never below what was reported, because calls that begin on full
	 * memory evict cached prefixes.
	 */
	estimateMemory({callMs}: ServicePace, now: MonotonicMs): number {
		let reported = 0;
		let delayed = 0;
		const mean = this.hasMean(now) ? this.average.memoryTokens : 0;
		for (const {load, times} of this.loads.values()) {
			if (now <= times.expiresAt) {
				reported += load.memoryTokens;
				delayed += times.measuredAt === undefined ? 0 : load.memoryTokens;
			}
		}

		return mean > delayed ? reported + ((mean - delayed) * this.calculateChange(callMs, now)) : reported;
	}

	/** Whether the mean says something of the present work. Without later reports, as in a fleet that has become small, it doesn't. */
	private hasMean(now: MonotonicMs): boolean {
		return this.lastMeasuredAt !== undefined && now - this.lastMeasuredAt <= averagingMs;
	}

	/** Calculates how far work that lasts `meanMs` has moved to its mean since the last report that needs correction, from 0 to 1. */
	private calculateChange(meanMs: number, now: MonotonicMs): number {
		return 1 - Math.exp(-Math.max(0, now - this.lastMeasuredAt!) / meanMs);
	}

	/** Sums up the reports that need correction. */
	private sumDelayed(now: MonotonicMs): TargetLoad {
		return this.sum(now, {has: instance => this.loads.get(instance)!.times.measuredAt !== undefined});
	}

	/** Adds the reports that counted until `measuredAt` to the mean, by the time for which they did. */
	private updateAverage(measuredAt: MonotonicMs | undefined): void {
		if (measuredAt === undefined) {
			return;
		}

		const weight = 1 - Math.exp(-Math.max(0, measuredAt - (this.lastMeasuredAt ?? measuredAt)) / averagingMs);
		const {calls, prefillTokens, memoryTokens} = this.sumDelayed(measuredAt);
		this.lastMeasuredAt = measuredAt;
		this.average = {
			calls: this.average.calls + ((calls - this.average.calls) * weight),
			prefillTokens: this.average.prefillTokens + ((prefillTokens - this.average.prefillTokens) * weight),
			memoryTokens: this.average.memoryTokens + ((memoryTokens - this.average.memoryTokens) * weight),
		};
	}
}
