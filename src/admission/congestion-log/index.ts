/** Logs when calls of a service have to wait for targets, in two lines for each period, however many calls there are. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {ServiceId} from '../../routing/routing-types/index.js';

/** Shortest period that is logged, and the shortest time without waiting calls between two periods, in milliseconds. */
const periodMs = 1000;

type Period = {readonly since: MonotonicMs; waited: number; refused: number; isLogged: boolean; emptySince: MonotonicMs | undefined};

/** Log of one queue. */
export class CongestionLog {
	private period: Period | undefined;

	constructor(private readonly service: ServiceId, private readonly logger: EventLogger) {}

	/** Records a call that waits. */
	recordJoin(now: MonotonicMs): void {
		const {emptySince} = this.period ?? {};
		if (this.period === undefined || (emptySince !== undefined && now - emptySince >= periodMs)) {
			this.period = {
				since: now, waited: 0, refused: 0, isLogged: false, emptySince: undefined,
			};
		}

		this.period.waited += 1;
		this.period.emptySince = undefined;
		if (!this.period.isLogged && now - this.period.since >= periodMs) {
			this.period.isLogged = true;
			this.logger.warn('calls wait for targets', {service: this.service, sinceMs: Math.round(now - this.period.since), waited: this.period.waited});
		}
	}

	/** Records a call that was refused after it had waited. */
	recordRefusal(): void {
		if (this.period !== undefined) {
			this.period.refused += 1;
		}
	}

	/** Records that no call waits any more. */
	recordEmpty(now: MonotonicMs): void {
		if (this.period === undefined) {
			return;
		}

		this.period.emptySince = now;
		if (this.period.isLogged) {
			const {since, waited, refused} = this.period;
			this.period = undefined;
			this.logger.info('no call waits for targets', {
				service: this.service, durationMs: Math.round(now - since), waited, refused,
			});
		}
	}
}
