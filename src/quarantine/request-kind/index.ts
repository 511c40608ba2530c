/** Quarantines of whole requests: their duration, stored form and log lines. */

import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {CrashSource} from '../crash-evidence/index.js';
import {planRequestDuration} from '../plan-request-duration/index.js';
import type {AdoptionSource, QuarantineKind} from '../quarantine-keeper/index.js';
import {isActive, type Quarantine} from '../quarantine-register/index.js';
import {requestCodec} from '../request-codec/index.js';
import type {RequestKey} from '../request-key/index.js';

/** Maximum number of quarantines that are stored, whatever callers send. */
const maximumStoredRequests = 500;

/** Kind of the quarantines of whole requests. */
export class RequestKind implements QuarantineKind<RequestKey> {
	readonly codec = requestCodec;
	readonly planDuration = planRequestDuration;
	readonly maximumStored = maximumStoredRequests;

	constructor(private readonly logger: EventLogger) {}

	logDecision({key, crashes, durationMs}: Quarantine<RequestKey>, source: CrashSource | AdoptionSource): void {
		this.logger.warn('request quarantined', {
			request: key, crashes, durationMs, source,
		});
	}

	logAdoption(quarantine: Quarantine<RequestKey>, source: AdoptionSource, now: MonotonicMs): void {
		if (isActive(quarantine, now)) {
			this.logDecision(quarantine, source);
		}
	}

	logLift(request: RequestKey, reason: string): void {
		this.logger.warn('request quarantine lifted', {request, reason});
	}
}
