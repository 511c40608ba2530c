/**
 * Confirms that a target has crashed when connections to it break. All calls at one target share the answer to one probe.
 * A target may reset connections while it goes on to run, so a break alone proves nothing.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetState} from '../../fleet/probe-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CrashedTarget} from '../crash-evidence/index.js';

/** Time in which the calls of one crash are collected before the probe, in milliseconds. Their connections break at almost the same time. */
const collectionMs = 10;
/** Pause before a target that still accepted a connection is probed once more; its listener may close a little after its connections. */
const secondProbeDelayMs = 100;

/** A confirmed crash, and the calls whose connections broke with it. */
export type ConfirmedCrash<Call> = CrashedTarget & {readonly calls: readonly Call[]};

/** Options of `CrashConfirmation`. */
export type CrashConfirmationOptions<Call> = {
	readonly clock: Clock;
	readonly probe: (target: FleetTarget) => Promise<TargetState>;
	/** Called for each confirmed crash. */
	readonly onCrash: (crash: ConfirmedCrash<Call>) => void;
};

/** Collects broken calls by target until a probe has told what happened. */
export class CrashConfirmation<Call> {
	private readonly pending = new Map<FleetTarget, {readonly crashedAt: MonotonicMs; readonly calls: Call[]}>();

	constructor(private readonly options: CrashConfirmationOptions<Call>) {}

	/** Adds a call whose connection to `target` broke at `now`. */
	add(call: Call, target: FleetTarget, now: MonotonicMs): void {
		const pending = this.pending.get(target);
		if (pending === undefined) {
			this.pending.set(target, {crashedAt: now, calls: [call]});
			void this.confirm(target, now);
		} else {
			pending.calls.push(call);
		}
	}

	private async confirm(target: FleetTarget, crashedAt: MonotonicMs): Promise<void> {
		const {clock, onCrash} = this.options;
		await clock.sleep(collectionMs);
		const isDown = await this.isDown(target, crashedAt);
		const {calls} = this.pending.get(target)!;
		this.pending.delete(target);
		if (isDown) {
			const {id, startedAt} = target.description;
			onCrash({
				target: id, startedAt, crashedAt, calls,
			});
		}
	}

	private async isDown(target: FleetTarget, crashedAt: MonotonicMs): Promise<boolean> {
		const {clock, probe} = this.options;
		if (target.readUnreachableAt() >= crashedAt || await probe(target) === 'down') {
			return true;
		}

		await clock.sleep(secondProbeDelayMs);
		return target.readUnreachableAt() >= crashedAt || await probe(target) === 'down';
	}
}
