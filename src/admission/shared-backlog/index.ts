/**
 * What waits in the admission queues of the fleet, as far as load reports tell.
 *
 * Load pattern: urgent calls wait at one instance while others send less urgent ones, because each queue only knows its own calls.
 */

import type {InstanceId, MonotonicMs} from '../../identity/ids/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';
import type {CallNeeds, CallRank} from '../queued-call/index.js';

/** Calls of one priority that wait for targets of a service, and the least engine memory that one of them takes, in tokens. */
export type WaitingEntry = readonly [service: ServiceId, priority: number, calls: number, smallestTokens: number];

/** Takes the place of the sender in records of an aggregator's sum over all instances. */
export const fleetBacklogKey = 'fleet' as InstanceId;

type Report = {readonly entries: readonly WaitingEntry[]; readonly expiresAt: MonotonicMs};

/** Waiting calls of the fleet. */
export class SharedBacklog {
	private readonly reports = new Map<InstanceId, Report>();

	/** `listOwn` lists what waits at this instance. */
	constructor(readonly listOwn: () => WaitingEntry[]) {}

	/** Records what waits at another instance; without entries, as from one of an earlier release, nothing does. */
	record(sender: InstanceId, entries: readonly WaitingEntry[] | undefined, expiresAt: MonotonicMs): void {
		if (entries === undefined || entries.length === 0) {
			this.reports.delete(sender);
		} else {
			this.reports.set(sender, {entries, expiresAt});
		}
	}

	/** Whether a more urgent call waits elsewhere that could use all room which `call` can use. Reports that have expired are deleted. */
	hasMoreUrgent(service: ServiceId, {priority, needs}: Pick<CallRank, 'priority'> & {readonly needs: Pick<CallNeeds, 'memoryTokens'>}, now: MonotonicMs): boolean {
		return this.listReports(now).some(([, {entries}]) => entries.some(([otherService, otherPriority, , smallestTokens]) =>
			otherService === service && otherPriority < priority && smallestTokens <= needs.memoryTokens));
	}

	/** Sums what waits at this instance and at those in `instances`, the most urgent calls first. */
	sum(instances: {has(instance: InstanceId): boolean}, now: MonotonicMs): WaitingEntry[] {
		const remote = this.listReports(now).filter(([sender]) => instances.has(sender));
		return sumEntries([...this.listOwn(), ...remote.flatMap(([, {entries}]) => entries)]);
	}

	/** Sums what waits at all instances, the most urgent calls first. */
	sumAll(now: MonotonicMs): WaitingEntry[] {
		return this.sum({has: () => true}, now);
	}

	private listReports(now: MonotonicMs): ReadonlyArray<readonly [InstanceId, Report]> {
		for (const [sender, {expiresAt}] of this.reports) {
			if (now > expiresAt) {
				this.reports.delete(sender);
			}
		}

		return [...this.reports];
	}
}

/** Subtracts the calls that an instance has reported itself. */
export function subtractEntries(entries: readonly WaitingEntry[], own: readonly WaitingEntry[]): WaitingEntry[] {
	const ownCalls = new Map(own.map(([service, priority, calls]) => [formatKey(service, priority), calls]));
	return entries
		.map(([service, priority, calls, smallestTokens]): WaitingEntry =>
			[service, priority, calls - (ownCalls.get(formatKey(service, priority)) ?? 0), smallestTokens])
		.filter(entry => entry[2] > 0);
}

function sumEntries(entries: readonly WaitingEntry[]): WaitingEntry[] {
	const sums = new Map<string, WaitingEntry>();
	for (const [service, priority, calls, smallestTokens] of entries) {
		const key = formatKey(service, priority);
		const other = sums.get(key) ?? [service, priority, 0, Infinity];
		sums.set(key, [service, priority, calls + other[2], Math.min(smallestTokens, other[3])]);
	}

	return [...sums.values()].toSorted((a, b) => a[1] - b[1]);
}

function formatKey(service: ServiceId, priority: number): string {
	return `${priority}/${service}`;
}
