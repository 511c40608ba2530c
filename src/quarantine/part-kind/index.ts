/** Quarantines of prompt parts: their duration, stored form and log lines. */

import type {Clock} from '../../clock/clock/index.js';
import type {MonotonicMs} from '../../identity/ids/index.js';
import type {EventLogger} from '../../logging/create-logger/index.js';
import type {CrashSource} from '../crash-evidence/index.js';
import {partCodec} from '../part-codec/index.js';
import type {PartKey} from '../part-key/index.js';
import type {AdoptionSource, QuarantineKind} from '../quarantine-keeper/index.js';
import {doubleDuration, type Quarantine} from '../quarantine-register/index.js';

/** Kind of the quarantines of prompt parts. */
export class PartKind implements QuarantineKind<PartKey> {
	readonly codec = partCodec;
	readonly planDuration = doubleDuration;
	/** Each quarantine of a part takes the crashes of several engines, which bounds their number. */
	readonly maximumStored = Number.POSITIVE_INFINITY;

	constructor(private readonly clock: Clock, private readonly logger: EventLogger) {}

	logDecision(quarantine: Quarantine, source: CrashSource, now: MonotonicMs): void {
		this.logQuarantine(quarantine, source === 'own' ? 'crash' : 'crash reported by peer', now);
	}

	logAdoption(quarantine: Quarantine, source: AdoptionSource, now: MonotonicMs): void {
		this.logQuarantine(quarantine, source, now);
	}

	logLift(part: PartKey, reason: string): void {
		this.logger.warn('quarantine lifted', {part, reason});
	}

	private logQuarantine({key: part, crashes, endsAt, durationMs}: Quarantine, source: string, now: MonotonicMs): void {
		const until = new Date(this.clock.readWall() + (endsAt - now));
		this.logger.warn('prompt part quarantined', {
			part, crashes, durationMs, until: until.toISOString(), source,
		});
	}
}
