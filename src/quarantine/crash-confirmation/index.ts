/**
 * Confirms that a target has crashed when connections to it break. All calls at one target share the answer to one probe.
 * A target may reset connections while it goes on to run, so a break alone proves nothing.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {TargetState} from '../../fleet/probe-target/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {CrashedRequest, RequestCrash} from '../request-ledger/index.js';

/** Time in which the requests of one crash are collected before the probe, in milliseconds. Their connections break at almost the same time. */
const collectionMs = 10;
/** Pause before a target that still accepted a connection is probed once more; its listener may close a little after its connections. */
const secondProbeDelayMs = 100;

/** Options of `CrashConfirmation`. */
export type CrashConfirmationOptions = {
	readonly clock: Clock;
	readonly probe: (target: FleetTarget) => Promise<TargetState>;
	/** Called for each confirmed crash. */
	readonly onCrash: (crash: RequestCrash) => void;
};

/** Collects broken requests by target until a probe has told what happened. */
export class CrashConfirmation {
	private readonly pending = new Map<FleetTarget, {readonly crashedAt: MonotonicMs; readonly requests: CrashedRequest[]}>();

	constructor(private readonly options: CrashConfirmationOptions) {}

	/** Adds a request whose connection to `target` broke at `now`. */
	add(request: CrashedRequest, target: FleetTarget, now: MonotonicMs): void {
		const pending = this.pending.get(target);
		if (pending === undefined) {
			this.pending.set(target, {crashedAt: now, requests: [request]});
			void this.confirm(target, now);
		} else {
			pending.requests.push(request);
		}
	}

	private async confirm(target: FleetTarget, crashedAt: MonotonicMs): Promise<void> {
		const {clock, onCrash} = this.options;
		await clock.sleep(collectionMs);
		const isDown = await this.isDown(target, crashedAt);
		const {requests} = this.pending.get(target)!;
		this.pending.delete(target);
		if (isDown) {
			const {id, startedAt} = target.description;
			onCrash({
				target: id, startedAt, crashedAt, requests,
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
