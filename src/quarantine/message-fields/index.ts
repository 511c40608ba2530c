/**
 * Fields that the messages about prompt parts and about requests share. They carry ages and remaining times instead of
 * times, since each instance has a monotonic clock of its own.
 */

import type {MonotonicMs, TargetId} from '../../identity/ids/index.js';
import type {CrashedTarget} from '../crash-evidence/index.js';
import type {Quarantine} from '../quarantine-register/index.js';

/** Fields of a message that was received, none of which has been checked. */
export type MessageFields = Readonly<Partial<Record<string, unknown>>>;

/** A quarantine and when an instance decided on it. */
export type QuarantineNotice<Key extends string> = {readonly quarantine: Quarantine<Key>; readonly decidedAt: MonotonicMs};

const maximumTextLength = 200;

/** Reads the fields of a message; none if it is no object. */
export function readFields(body: unknown): MessageFields {
	return (typeof body === 'object' && body !== null ? body : {}) as MessageFields;
}

/** Formats the target of a crash report that is sent at `now`. */
export function formatCrashedTarget({target, startedAt, crashedAt}: CrashedTarget, now: MonotonicMs) {
	return {target, startedAt, ageMs: now - crashedAt};
}

/** Parses the target of a crash report that was received at `now`. */
export function parseCrashedTarget({target, startedAt, ageMs}: MessageFields, now: MonotonicMs): CrashedTarget {
	return {target: demandText(target) as TargetId, startedAt: demandNumber(startedAt), crashedAt: parseAge(ageMs, now)};
}

/** Formats a notice that is sent at `now`, without the key. */
export function formatNotice({quarantine: {crashes, durationMs, endsAt}, decidedAt}: QuarantineNotice<string>, now: MonotonicMs) {
	return {
		crashes, durationMs, remainingMs: endsAt - now, ageMs: now - decidedAt,
	};
}

/** Parses a notice about `key` that was received at `now`. */
export function parseNotice<Key extends string>(key: Key, fields: MessageFields, now: MonotonicMs): QuarantineNotice<Key> {
	const endsAt = now + demandNumber(fields.remainingMs) as MonotonicMs;
	const quarantine: Quarantine<Key> = {
		key, crashes: demandNumber(fields.crashes), durationMs: demandNumber(fields.durationMs), endsAt,
	};
	return {quarantine, decidedAt: parseAge(fields.ageMs, now)};
}

/** Converts an age to a time on the clock of this instance. */
export function parseAge(value: unknown, now: MonotonicMs): MonotonicMs {
	return now - demandNumber(value) as MonotonicMs;
}

/** Returns a number that is not negative, or throws a `TypeError`. */
export function demandNumber(value: unknown): number {
	if (typeof value !== 'number' || !Number.isFinite(value) || value < 0) {
		throw new TypeError('a number is missing or negative');
	}

	return value;
}

/** Returns a text that is neither empty nor long, or throws a `TypeError`. */
export function demandText(value: unknown): string {
	if (typeof value !== 'string' || value === '' || value.length > maximumTextLength) {
		throw new TypeError('a text is missing or too long');
	}

	return value;
}

/** Returns a list of at most `maximumLength` items, or throws a `TypeError`. */
export function demandList(value: unknown, maximumLength: number): unknown[] {
	if (!Array.isArray(value) || value.length > maximumLength) {
		throw new TypeError('a list is missing or too long');
	}

	return value;
}
