/**
 * Which software versions one call may go to while its service is rolled out, and what its requests show about them.
 *
 * A call draws a random fraction once. It goes to the new version if the fraction is below the present share of that version,
 * so a call that waits for a target follows the rollout. A call that has been sent to the new version goes on at the old one,
 * unless all calls go to the new one, so that repeats add nothing to what a bad version gets.
 */

import type {FleetTarget} from '../../fleet/fleet-target/index.js';
import type {ForwardingContext} from '../forwarding-context/index.js';
import type {AttemptFailure} from '../plan-next-step/index.js';
import type {Attempt, SessionOptions} from '../session-types/index.js';
import type {RequestOutcome} from '../../software-rollout/evidence-recorder/index.js';
import type {StreamOrigin} from '../stream-origin/index.js';
import type {SentRequest} from '../version-routing/index.js';

/** Fraction of a call that goes to the new version only when all calls do. */
const lastFraction = 1;
const firstServerErrorStatus = 500;

/** Versions for one call. */
export class CallVersions {
	/** Random fraction that is compared with the share of the new version. */
	private fraction: number;

	constructor(
		private readonly session: Pick<SessionOptions, 'service' | 'route'>,
		private readonly origin: Pick<StreamOrigin, 'isBound'>,
		private readonly context: Pick<ForwardingContext, 'versionRouting' | 'draw'>,
	) {
		this.fraction = context.versionRouting === undefined ? 0 : context.draw();
	}

	/** Selects the targets of the versions that the call may go to. A stream that is bound to a version keeps it while it serves. */
	select(targets: readonly FleetTarget[]): FleetTarget[] {
		const {versionRouting} = this.context;
		if (versionRouting === undefined) {
			return [...targets];
		}

		const {service} = this.session;
		const lane = this.origin.isBound ? undefined : versionRouting.chooseLane(service, this.fraction);
		return targets.filter(({description}) => versionRouting.allows(service, lane, description.softwareVersion));
	}

	/** Goes to the old versions from now on, because no target of the new one can take the call. Returns whether that is a change. */
	retreat(): boolean {
		const {context: {versionRouting}, session: {service}, origin} = this;
		if (origin.isBound || versionRouting?.chooseLane(service, this.fraction) !== 'new') {
			return false;
		}

		this.fraction = lastFraction;
		return versionRouting.chooseLane(service, this.fraction) !== 'new';
	}

	/** Records that an attempt has begun. */
	recordBegun(attempt: Attempt): void {
		this.context.versionRouting?.recordSent(this.describe(attempt));
		this.retreat();
	}

	/** Records that an attempt has ended; `mayHaveRun`: whether it may have run the call. */
	recordEnded(attempt: Attempt, mayHaveRun: boolean): void {
		const {answer, head} = attempt;
		const status = head?.status ?? 0;
		if (mayHaveRun && status >= firstServerErrorStatus) {
			this.record(attempt, 'failed');
		} else if (mayHaveRun && answer?.hasEnded === true && answer.isWhole) {
			this.record(attempt, 'good');
		} else {
			this.record(attempt, mayHaveRun ? 'unanswered' : 'notRun');
		}
	}

	/** Records an attempt whose target was to blame for its end. */
	recordFailure(attempt: Attempt, failure: AttemptFailure): void {
		const isError = (attempt.head?.status ?? 0) >= firstServerErrorStatus;
		if ((failure === 'unknown' || failure === 'broken') && !isError) {
			this.record(attempt, 'failed');
		}
	}

	private record(attempt: Attempt, outcome: RequestOutcome): void {
		this.context.versionRouting?.recordEnded(this.describe(attempt), outcome);
	}

	private describe({target, record}: Attempt): SentRequest {
		return {target, route: this.session.route.id, call: record};
	}
}
