/**
 * Contends for the lease of software rollouts, and writes the statuses of the orders while it holds the lease.
 *
 * Each write is conditional on the version of the object that the decision rests on, so that a write of an earlier holder which
 * is carried out late fails.
 */

import type {Clock} from '../../clock/clock/index.js';
import type {Wakeup} from '../../clock/wakeup/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {Lease} from '../../leases/lease/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import {ObjectApiError, type StoredObject} from '../../store/object-api/index.js';
import type {KnownRollout} from '../order-register/index.js';
import type {RolloutStatus} from '../rollout-types/index.js';

/** Name of the lease; stored in the object API and therefore stable. */
export const softwareLeaseName = 'software-rollout';
/** Duration of the lease, in milliseconds. */
export const softwareLeaseMs = 3000;
/** Time before the expiry of the lease from which nothing is written, in milliseconds; a write takes that long at most. */
const writeMarginMs = 700;
/** Interval at which a contender acquires or renews the lease, in milliseconds. */
const renewIntervalMs = 700;
/** Interval at which an instance that doesn't contend checks whether it should, in milliseconds. */
const idleIntervalMs = 5000;
/** Pauses after a write that failed by a conflict or for another reason, in milliseconds. */
const conflictPauseMs = 150;
const failurePauseMs = 400;

/** Options of the holder. */
export type RolloutHolderOptions = {
	readonly clock: Clock;
	readonly logger: EventLogger;
	readonly lease: Pick<Lease, 'acquire' | 'release' | 'isHeld' | 'readExpiry' | 'readFencing'>;
	/** Ends the wait for an order. */
	readonly wakeup: Wakeup;
	readonly isContender: () => boolean;
	readonly hasWork: () => boolean;
	/** Writes a status; resolves to the stored object. */
	readonly write: (rollout: KnownRollout, status: RolloutStatus) => Promise<StoredObject>;
	readonly onWritten: (rollout: KnownRollout, status: RolloutStatus, object: StoredObject) => void;
};

/** Holds the lease while there is an order in progress. */
export class RolloutHolder {
	/** Whether the lease was acquired once. The store then has its record, and the next order need not wait for its observation. */
	private isPrepared = false;
	private isHolder = false;
	private isStopping = false;
	private readonly nextWriteAt = new Map<string, number>();

	constructor(private readonly options: RolloutHolderOptions) {}

	/** Contends for the lease until `signal` aborts. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, wakeup, isContender, hasWork} = this.options;
		while (!signal.aborted) {
			const isWanted = !this.isStopping && isContender() && (hasWork() || !this.isPrepared);
			if (isWanted) {
				await this.acquireOrRenew();
			} else if (this.isHolder) {
				await this.release();
			}

			const isPreparedNow = isWanted && this.isHolder && !hasWork();
			if (!isPreparedNow) {
				await wakeup.wait(clock, isWanted ? renewIntervalMs : idleIntervalMs, signal);
			}
		}
	}

	/** Releases the lease, so that another instance goes on at once. */
	async stop(): Promise<void> {
		this.isStopping = true;
		if (this.isHolder) {
			await this.release();
		}
	}

	/** Whether a status may be written at `now`. */
	mayWrite(now: MonotonicMs): boolean {
		const expiry = this.options.lease.readExpiry();
		return this.isHolder && !this.isStopping && expiry !== undefined && expiry - now > writeMarginMs;
	}

	/** Writes a status, unless a write for the service is under way or has just failed. */
	async write(rollout: KnownRollout, status: RolloutStatus): Promise<void> {
		const {clock, logger, write, onWritten, lease} = this.options;
		const {service} = rollout.order;
		if (clock.readMonotonic() < (this.nextWriteAt.get(service) ?? 0)) {
			return;
		}

		this.nextWriteAt.set(service, Infinity);
		let pauseMs = 0;
		try {
			const object = await write(rollout, status);
			logger.info('software rollout status stored', {
				service, target: status.target, state: status.state, stage: status.stage, share: status.share, order: status.order, write: status.write,
				ageMs: status.ageMs, reason: status.reason, fencing: lease.readFencing(),
			});
			onWritten(rollout, status, object);
		} catch (error) {
			const isConflict = error instanceof ObjectApiError && error.failure === 'conflict';
			pauseMs = isConflict ? conflictPauseMs : failurePauseMs;
			logger.warn('software rollout status not stored', {
				service, state: status.state, stage: status.stage, reason: (error as Error).message,
			});
		}

		this.nextWriteAt.set(service, clock.readMonotonic() + pauseMs);
	}

	/** Describes the lease for a dump. */
	dump(): unknown {
		return {isHolder: this.isHolder, fencing: this.options.lease.readFencing()};
	}

	private async acquireOrRenew(): Promise<void> {
		const {clock, lease, logger} = this.options;
		try {
			const isHeld = await lease.acquire();
			if (isHeld !== this.isHolder) {
				logger.info(isHeld ? 'software rollout lease acquired' : 'software rollout lease lost', {fencing: lease.readFencing()});
			}

			this.isHolder = isHeld;
			this.isPrepared ||= isHeld;
		} catch (error) {
			if (this.isHolder && !lease.isHeld(clock.readMonotonic())) {
				this.isHolder = false;
				logger.warn('software rollout lease lost', {reason: (error as Error).message});
			}
		}
	}

	private async release(): Promise<void> {
		this.isHolder = false;
		try {
			await this.options.lease.release();
		} catch (error) {
			this.options.logger.warn('software rollout lease not released', {reason: (error as Error).message});
		}
	}
}
